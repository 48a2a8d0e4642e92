#ifndef BILBERRYLEAD_LOAD_PERCENTILES_HPP
#define BILBERRYLEAD_LOAD_PERCENTILES_HPP

#include "bilberrylead/core/time.hpp"

#include <span>

namespace bilberrylead::load
{

/// The smallest value that at least this share (0 to 1) of all values do
/// not exceed; zero of no values. The values must be sorted.
duration percentile(std::span<duration const> sorted, double share);

} // namespace bilberrylead::load

#endif
