#ifndef BILBERRYLEAD_POLICY_LONG_WORK_LIMIT_HPP
#define BILBERRYLEAD_POLICY_LONG_WORK_LIMIT_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/policy/long_work_limit_settings.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// Limits how many of a pool's slots (or connections, or buffers) long work
/// may hold.
///
/// Protects look-ups from downloads. A download holds its slot a hundred
/// times as long, so even a few a second end up in every slot at once, and
/// each look-up then waits for the end of a download. Long work gets the
/// slots that look-ups leave, and at most a fixed share, so that a sudden
/// rise of look-ups finds slots that come free within milliseconds.
class long_work_limit
{
public:
    /// Creates a limit with these settings.
    explicit long_work_limit(long_work_limit_settings const& settings = {})
        : settings(settings)
    {
    }

    /// Maximum number of `slots` that long work may hold while brief work
    /// holds `brief_average` on average. At least 1 if there is any slot: a
    /// songbook bundle that never starts misses its print deadline.
    std::uint32_t max_slots(std::uint32_t slots, double brief_average) const;

    /// True if a request of `length` may use a free one of `slots` slots while
    /// long work holds `long_held` of them.
    bool allows(config::work_length length, std::uint32_t slots,
                std::uint32_t long_held, double brief_average) const;

private:
    long_work_limit_settings settings;
};

} // namespace bilberrylead::policy

#endif
