#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_TALLY_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_TALLY_HPP

#include "bilberrylead/core/time.hpp"
#include "workload.hpp"

#include <cstdint>
#include <vector>

namespace policy_bench
{

/// What callers got under one policy.
struct summary
{
    /// Latency of look-ups that ran, ms.
    double p50 = 0;
    /// See p50.
    double p99 = 0;
    /// See p50.
    double p999 = 0;
    /// Share of look-ups that were answered "not run".
    double not_run = 0;
    /// The same among callers that are not heavy.
    double light_not_run = 0;
    /// Share of look-ups that ran and missed their deadline.
    double missed = 0;
    /// Time until "not run" was said, ms: 99 of 100 under this.
    double refused_p99 = 0;
    /// Share of look-ups that had to wait for "not run" over 10 ms.
    double refused_late = 0;
    /// p99 of the light callers' latency, ms.
    double light_p99 = 0;
    /// Downloads that ran per second.
    double downloads = 0;
};

/// Counts what becomes of each request.
class tally
{
public:
    /// Starts a count over the arrivals, of which the first tenth only warms
    /// up the state and is left out.
    tally(std::vector<arrival> const& arrivals,
          bilberrylead::duration deadline);

    /// The request's answer was back at the entry host; `extra` is what the
    /// way from the caller to a farther region added.
    void answered(std::uint32_t request, bilberrylead::instant at,
                  bilberrylead::duration extra);

    /// The request was answered "not run".
    void refused(std::uint32_t request, bilberrylead::instant at);

    /// The figures.
    summary summarize();

private:
    bool counts(std::uint32_t request) const;

    std::vector<arrival> const& arrivals;
    bilberrylead::duration deadline;
    std::vector<double> latencies;
    std::vector<double> light_latencies;
    std::vector<double> refusals;
    std::uint64_t light_refused = 0;
    std::uint64_t late = 0;
    std::uint64_t downloads_done = 0;
};

} // namespace policy_bench

#endif
