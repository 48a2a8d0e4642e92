#include "scenario_line.hpp"
#include "scenario_steps.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace bilberrylead::scenario;

namespace
{

void show_logs(std::filesystem::path const& folder)
{
    for (std::filesystem::directory_entry const& file :
         std::filesystem::directory_iterator(folder))
    {
        if (file.path().extension() != ".log")
        {
            continue;
        }
        std::ifstream stream(file.path());
        std::string const text{std::istreambuf_iterator<char>(stream), {}};
        constexpr std::size_t shown = 4000;
        std::size_t const start = text.size() > shown ? text.size() - shown : 0;
        if (!text.empty())
        {
            fmt::print("--- {}\n{}\n", file.path().filename().string(),
                       text.substr(start));
        }
    }
}

} // namespace

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
    scenario_steps steps(values[1]);
    for (scenario_line const& line : lines)
    {
        fmt::print("{:>4}  {}\n", line.number, line.text);
        std::fflush(stdout);
        try
        {
            steps.run(line);
        }
        catch (std::exception const& wrong)
        {
            fmt::print("FAILED in line {}: {}: {}\n", line.number, line.text,
                       wrong.what());
            show_logs(steps.folder());
            return 1;
        }
    }
    return 0;
}
