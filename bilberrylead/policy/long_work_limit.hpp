#ifndef BILBERRYLEAD_POLICY_LONG_WORK_LIMIT_HPP
#define BILBERRYLEAD_POLICY_LONG_WORK_LIMIT_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/policy/long_work_limit_settings.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// How many of a pool's slots (or connections, or buffers) long work may
/// hold.
///
/// Load it answers: downloads among look-ups. A download holds its slot a
/// hundred times as long, so even a few a second end up in every slot at
/// once, and each look-up then waits for the end of a download. Long work
/// gets what look-ups leave, and at most a fixed share, so that a sudden
/// rise of look-ups finds slots that come free within milliseconds.
class long_work_limit
{
public:
    /// Makes a limit that follows `settings`.
    explicit long_work_limit(long_work_limit_settings const& settings = {})
        : settings(settings)
    {
    }

    /// Slots that long work may hold of `slots`, while brief work holds
    /// `brief_average` on average. At least 1 if there is a slot at all: a
    /// songbook bundle that never starts misses its print deadline.
    std::uint32_t max_slots(std::uint32_t slots, double brief_average) const;

    /// True if a request of `length` may take a free slot of `slots`, while
    /// long work holds `long_held`.
    bool allows(config::work_length length, std::uint32_t slots,
                std::uint32_t long_held, double brief_average) const;

private:
    long_work_limit_settings settings;
};

} // namespace bilberrylead::policy

#endif
