#ifndef BILBERRYLEAD_POLICY_RECENT_PEAK_HPP
#define BILBERRYLEAD_POLICY_RECENT_PEAK_HPP

#include "bilberrylead/core/time.hpp"

#include <algorithm>
#include <cstdint>

namespace bilberrylead::policy
{

/// The largest count that was received within a time window.
///
/// Failure it handles: a limit on all hosts together is divided by the number
/// of hosts. When the host that counts them is replaced, its successor at first
/// receives messages from only a few of them; shares computed from its small
/// count add up to a multiple of the limit. Fixed memory, no allocation.
class recent_peak
{
public:
    /// A peak remains valid for `window_length` after it was last received.
    explicit recent_peak(duration window_length) : window(window_length)
    {
    }

    /// Records a received count and returns the peak.
    std::uint64_t record(std::uint64_t count, instant now)
    {
        if (count >= this->peak || now - this->peak_at >= this->window)
        {
            // The largest count below the expired peak, if still valid, may be
            // the next peak.
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
