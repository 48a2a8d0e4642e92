#ifndef BILBERRYLEAD_LOAD_LATENCY_PLOT_HPP
#define BILBERRYLEAD_LOAD_LATENCY_PLOT_HPP

#include "bilberrylead/load/latency_sample.hpp"

#include <span>
#include <string>

namespace bilberrylead::load
{

/// Draws latency over time as SVG: median and 99th percentile of a hundred
/// slices of the run, on a logarithmic scale. Empty slices leave a gap.
std::string draw_latency(std::span<latency_sample const> samples,
                         duration length);

} // namespace bilberrylead::load

#endif
