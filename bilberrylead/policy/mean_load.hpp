#ifndef BILBERRYLEAD_POLICY_MEAN_LOAD_HPP
#define BILBERRYLEAD_POLICY_MEAN_LOAD_HPP

#include "bilberrylead/core/time.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// Exponential moving averages over a group of upstreams: the run time of a
/// request, and the number of requests that one upstream holds for other entry
/// hosts. Fixed memory, no allocation.
///
/// Load it handles: one entry host receives a load report from each upstream
/// only once in many seconds, and uses the mean of the upstream's siblings in
/// the meantime. The siblings are the upstreams of one region. With a mean over
/// all regions, one full region would cause requests to be refused in idle
/// regions.
class mean_load
{
public:
    /// Starts with an initial mean run time (over 0) and an initial mean number
    /// of requests from other entry hosts (at least 0).
    mean_load(duration run_time, double held_by_others)
        : mean_run_time(run_time), mean_held_by_others(held_by_others)
    {
        assert(run_time > duration::zero() && held_by_others >= 0);
    }

    /// Adds the run time of one request.
    void record_run(duration run_time)
    {
        duration const step = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(run_time - this->mean_run_time) *
            weight);
        this->mean_run_time = std::max<duration>(this->mean_run_time + step,
                                                 std::chrono::milliseconds(1));
    }

    /// Adds the number of requests that one upstream holds for other entry
    /// hosts.
    void record_held_by_others(double held_by_others)
    {
        this->mean_held_by_others +=
            weight * (held_by_others - this->mean_held_by_others);
    }

    /// Mean run time; at least 1 ms.
    duration run_time() const
    {
        return this->mean_run_time;
    }

    /// Mean number of requests that one upstream holds for other entry hosts.
    double held_by_others() const
    {
        return this->mean_held_by_others;
    }

private:
    /// Weight of the newest sample; averages over about the last twenty.
    static constexpr double weight = 0.05;

    duration mean_run_time;
    double mean_held_by_others;
};

} // namespace bilberrylead::policy

#endif
