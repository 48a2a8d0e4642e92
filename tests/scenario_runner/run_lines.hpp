#ifndef BILBERRYLEAD_SCENARIO_RUNNER_RUN_LINES_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_RUN_LINES_HPP

#include "scenario_line.hpp"

#include <filesystem>
#include <vector>

namespace bilberrylead::scenario
{

/// Carries out the lines over the real programs in `binaries` and prints
/// each with the time since the start. False after the first one that does
/// not hold; then the ends of all logs are printed as well.
bool run_lines(std::filesystem::path const& binaries,
               std::vector<scenario_line> const& lines);

} // namespace bilberrylead::scenario

#endif
