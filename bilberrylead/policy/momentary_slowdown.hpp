#ifndef BILBERRYLEAD_POLICY_MOMENTARY_SLOWDOWN_HPP
#define BILBERRYLEAD_POLICY_MOMENTARY_SLOWDOWN_HPP

#include "bilberrylead/core/time.hpp"

#include <optional>

namespace bilberrylead::policy
{

class report_validity;

/// How many times as long as usual work takes at one upstream at this moment,
/// as the upstream reported it. Fixed memory, no allocation.
///
/// Load it handles: upstreams on shared machines that are 2.5 times slower for
/// 600 ms at a time, where one entry host receives two reports a second from
/// each. upstream_estimate averages over 4 s and many runs, so that it notices
/// such a moment after its end and then avoids an upstream of usual speed.
class momentary_slowdown
{
public:
    /// Records a reported factor; 1 is the usual speed. Factors outside 0.25 to
    /// 16 count as these bounds. `validity` learns from this report and the
    /// previous one.
    void record(double factor, report_validity& validity, instant now);

    /// Expected factor: the reported one, which decays linearly to 1 until the
    /// report is no longer valid. Exactly 1 without a valid report.
    double factor(report_validity const& validity, instant now) const;

private:
    double reported = 1;
    std::optional<instant> reported_at;
};

} // namespace bilberrylead::policy

#endif
