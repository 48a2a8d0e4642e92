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
    explicit recent_peak(duration window_length) : window(window_length)
    {
    }

    /// A count was heard; gives the peak.
    std::uint64_t record(std::uint64_t count, instant now)
    {
        if (count >= this->peak || now - this->peak_at >= this->window)
        {
            // What was heard below the peak meanwhile is the next one.
            this->peak =
                std::max(count, now - this->lower_peak_at < this->window
                                    ? this->lower_peak
                                    : 0);
            this->peak_at = now;
            this->lower_peak = 0;
        }
        else if (count >= this->lower_peak)
        {
            this->lower_peak = count;
            this->lower_peak_at = now;
        }
        return this->peak;
    }

private:
    duration window;
    std::uint64_t peak = 0;
    instant peak_at{};
    std::uint64_t lower_peak = 0;
    instant lower_peak_at{};
};

} // namespace bilberrylead::policy

#endif
