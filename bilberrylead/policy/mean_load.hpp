#ifndef BILBERRYLEAD_POLICY_MEAN_LOAD_HPP
#define BILBERRYLEAD_POLICY_MEAN_LOAD_HPP

#include "bilberrylead/core/time.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// What is usual at a group of upstreams: the mean run, and what others hold
/// of one. Fixed memory, no allocation.
///
/// Load it answers: one entry host hears from each upstream once in many
/// seconds, and goes by what is usual at its siblings until then. The
/// siblings are those of one region: where a region is full, a mean over all
/// of them has requests refused in regions that stand idle.
class mean_load
{
public:
    /// Starts from a mean run and a number held.
    mean_load(duration run_time, double held_by_others)
        : mean_run_time(run_time), mean_held_by_others(held_by_others)
    {
        assert(run_time > duration::zero() && held_by_others >= 0);
    }

    /// An upstream worked so long on a request.
    void record_run(duration run_time)
    {
        duration const step = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(run_time - this->mean_run_time) *
            weight);
        this->mean_run_time = std::max<duration>(this->mean_run_time + step,
                                                 std::chrono::milliseconds(1));
    }

    /// An upstream holds so many requests of others.
    void record_held_by_others(double held_by_others)
    {
        this->mean_held_by_others +=
            weight * (held_by_others - this->mean_held_by_others);
    }

    /// Mean run; at least 1 ms.
    duration run_time() const
    {
        return this->mean_run_time;
    }

    /// Mean number of requests of others that one upstream holds.
    double held_by_others() const
    {
        return this->mean_held_by_others;
    }

private:
    /// Weight of the newest: about the last twenty count.
    static constexpr double weight = 0.05;

    duration mean_run_time;
    double mean_held_by_others;
};

} // namespace bilberrylead::policy

#endif
