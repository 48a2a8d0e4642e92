#ifndef BILBERRYLEAD_POLICY_UPSTREAM_ESTIMATE_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_ESTIMATE_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// One entry host's estimate of an upstream that is shared with other entry
/// hosts: the number of requests it holds for them, and its run time relative
/// to its siblings, the other upstreams of its group. Both come from answers
/// and are as old as the last answer. With age they decay to the mean of the
/// siblings, so that an upstream that was busy or slow is tried again. Fixed
/// memory, no allocation.
class upstream_estimate
{
public:
    /// Records that the upstream ran a request for `run_time`, where the mean
    /// run time of its siblings is `sibling_mean` (over 0).
    void record_run(duration run_time, duration sibling_mean, instant now);

    /// Records that the upstream reported `held` requests in total,
    /// of which `from_this_host` are from this entry host.
    void record_report(std::uint32_t held, std::uint32_t from_this_host,
                       instant now);

    /// Records that the upstream refused a request. It is then assumed to be
    /// full, regardless of its earlier reports. `from_this_host` is the number
    /// of this entry host's requests that it holds.
    void record_refusal(std::uint32_t slots, std::uint32_t from_this_host,
                        instant now);

    /// Estimated requests from other entry hosts that the upstream holds, where
    /// the mean of its siblings is `sibling_mean`.
    double held_by_others(double sibling_mean, instant now) const;

    /// Run time relative to the siblings, 0.25 to 16; over 1 if the upstream is
    /// slower.
    double slowdown(instant now) const;

private:
    double mean_held_by_others = 0;
    double mean_slowdown = 1;
    instant last_report_at{};
    instant last_run_at{};
    bool has_report = false;
    bool has_run = false;
};

} // namespace bilberrylead::policy

#endif
