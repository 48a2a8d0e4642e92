#ifndef BILBERRYLEAD_POLICY_RECENT_PEAK_HPP
#define BILBERRYLEAD_POLICY_RECENT_PEAK_HPP

#include "bilberrylead/core/time.hpp"

#include <algorithm>
#include <cstdint>

namespace bilberrylead::policy
{

/// The largest count that was heard of late.
///
/// Failure it answers: what all hosts together may do is shared by their
/// number. When whoever counts them is replaced, the successor hears few of
/// them at first; shares by its small count add up to a multiple of the
/// bound. Fixed memory, no allocation.
class recent_peak
{
public:
    /// A peak that counts for `memory` after it was last heard.
    explicit recent_peak(duration memory) : kept_for(memory)
    {
    }

    /// A count was heard; gives the peak.
    std::uint64_t note(std::uint64_t count, instant now)
    {
        if (count >= this->peak || now - this->heard_at >= this->kept_for)
        {
            // What was heard below the peak meanwhile is the next one.
            this->peak = std::max(
                count, now - this->below_at < this->kept_for ? this->below : 0);
            this->heard_at = now;
            this->below = 0;
        }
        else if (count >= this->below)
        {
            this->below = count;
            this->below_at = now;
        }
        return this->peak;
    }

private:
    duration kept_for;
    std::uint64_t peak = 0;
    instant heard_at{};
    std::uint64_t below = 0;
    instant below_at{};
};

} // namespace bilberrylead::policy

#endif
