#include "run_lines.hpp"

#include "scenario_steps.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <string>

namespace bilberrylead::scenario
{

namespace
{

void show_logs(std::filesystem::path const& folder)
{
    for (std::filesystem::directory_entry const& file :
         std::filesystem::directory_iterator(folder))
    {
        std::filesystem::path const kind = file.path().extension();
        if (kind != ".log" && kind != ".out")
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

bool run_lines(std::filesystem::path const& binaries,
               std::vector<scenario_line> const& lines)
{
    scenario_steps steps(binaries);
    std::chrono::steady_clock::time_point const started =
        std::chrono::steady_clock::now();
    for (scenario_line const& line : lines)
    {
        std::chrono::milliseconds const passed =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - started);
        fmt::print("{:>4}  {:>7} ms  {}\n", line.number, passed.count(),
                   line.text);
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
            return false;
        }
    }
    return true;
}

} // namespace bilberrylead::scenario
