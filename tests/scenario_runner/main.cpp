#include "run_lines.hpp"
#include "scenario_line.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace bilberrylead::scenario;

/// Runs one scenario file over the real programs: scenario_runner BINARIES
/// FILE. Exit code 0 if every step and expectation held.
int main(int count, char const** values)
{
    if (count != 3)
    {
        fmt::print(stderr, "scenario_runner FOLDER-OF-BINARIES FILE\n");
        return 2;
    }
    std::ifstream file(values[2]);
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    std::vector<scenario_line> const lines = read_scenario(text);
    if (lines.empty())
    {
        fmt::print(stderr, "{} has no steps.\n", values[2]);
        return 2;
    }
    return run_lines(values[1], lines) ? 0 : 1;
}
