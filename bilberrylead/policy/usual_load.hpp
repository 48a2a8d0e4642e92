#ifndef BILBERRYLEAD_POLICY_USUAL_LOAD_HPP
#define BILBERRYLEAD_POLICY_USUAL_LOAD_HPP

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
class usual_load
{
public:
    /// Starts from a mean run and a number held.
    usual_load(duration run, double held) : mean_run(run), mean_held(held)
    {
        assert(run > duration::zero() && held >= 0);
    }

    /// An upstream worked so long on a request.
    void note_run(duration run)
    {
        duration const step = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(run - this->mean_run) * weight);
        this->mean_run = std::max<duration>(this->mean_run + step,
                                            std::chrono::milliseconds(1));
    }

    /// An upstream holds so many requests of others.
    void note_held(double held)
    {
        this->mean_held += weight * (held - this->mean_held);
    }

    /// Mean run; at least 1 ms.
    duration run() const
    {
        return this->mean_run;
    }

    /// Mean number of requests of others that one upstream holds.
    double held() const
    {
        return this->mean_held;
    }

private:
    /// Weight of the newest: about the last twenty count.
    static constexpr double weight = 0.05;

    duration mean_run;
    double mean_held;
};

} // namespace bilberrylead::policy

#endif
