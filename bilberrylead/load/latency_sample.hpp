#ifndef BILBERRYLEAD_LOAD_LATENCY_SAMPLE_HPP
#define BILBERRYLEAD_LOAD_LATENCY_SAMPLE_HPP

#include "bilberrylead/core/time.hpp"

namespace bilberrylead::load
{

/// One request's latency and when it started.
struct latency_sample
{
    /// From the run's start.
    duration start{};
    /// How long its caller waited.
    duration latency{};
};

} // namespace bilberrylead::load

#endif
