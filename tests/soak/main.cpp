#include "soak_plan.hpp"
#include "soak_settings.hpp"

#include "tests/scenario_runner/run_lines.hpp"
#include "tests/scenario_runner/scenario_line.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <tclap/CmdLine.h>

#include <cstdint>
#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <vector>

using namespace bilberrylead;

namespace
{

/// What the command line asks for.
struct soak_command
{
    std::string binaries;
    soak::soak_settings settings;
    bool shows_plan_only = false;
};

soak_command read_command(int count, char const** values)
{
    soak_command asked;
    TCLAP::CmdLine line("Plays a seeded series of faults over the real "
                        "programs and checks what must hold.");
    TCLAP::UnlabeledValueArg<std::string> binaries(
        "binaries", "Folder of the programs", true, "", "folder", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Names the plan", false,
                                        asked.settings.seed, "number", line);
    TCLAP::ValueArg<std::uint32_t> faults("", "faults", "Faults of the plan",
                                          false, asked.settings.faults,
                                          "number", line);
    TCLAP::ValueArg<std::uint32_t> entries("", "entry-hosts", "Entry hosts",
                                           false, asked.settings.entry_hosts,
                                           "number", line);
    TCLAP::SwitchArg upstreams("", "upstream-faults",
                               "Draws faults of single upstreams, too", line);
    TCLAP::SwitchArg rests("", "upstream-rests",
                           "Draws upstreams that ask for rest, too", line);
    TCLAP::SwitchArg plan("", "plan", "Prints the plan and ends", line);
    line.parse(count, values);
    asked.binaries = binaries.getValue();
    asked.settings.seed = seed.getValue();
    asked.settings.faults = faults.getValue();
    asked.settings.entry_hosts = entries.getValue();
    asked.settings.upstream_faults = upstreams.getValue();
    asked.settings.upstream_rests = rests.getValue();
    asked.shows_plan_only = plan.getValue();
    return asked;
}

int run(soak_command const& asked)
{
    soak::soak_plan const plan(asked.settings);
    std::string const text = fmt::format("{}\n", fmt::join(plan.lines(), "\n"));
    if (asked.shows_plan_only)
    {
        fmt::print("{}", text);
        return 0;
    }
    bool const held =
        scenario::run_lines(asked.binaries, scenario::read_scenario(text));
    for (auto const& [kind, count] : plan.faults())
    {
        fmt::print("played: {} {}\n", count, kind);
    }
    fmt::print("soak seed {} faults {} entry hosts {}: {}\n",
               asked.settings.seed, asked.settings.faults,
               asked.settings.entry_hosts, held ? "held" : "FAILED");
    if (!held)
    {
        fmt::print("again: soak_runner {} --seed {} --faults {} "
                   "--entry-hosts {}{}{}\n",
                   asked.binaries, asked.settings.seed, asked.settings.faults,
                   asked.settings.entry_hosts,
                   asked.settings.upstream_faults ? " --upstream-faults" : "",
                   asked.settings.upstream_rests ? " --upstream-rests" : "");
    }
    return held ? 0 : 1;
}

} // namespace

/// Exit code 0 if everything held, 1 if something did not, 2 if the command
/// line is wrong or the soak could not be played.
int main(int count, char const** values)
{
    try
    {
        return run(read_command(count, values));
    }
    catch (std::exception const& wrong)
    {
        fmt::print(stderr, "soak_runner: {}\n", wrong.what());
        return 2;
    }
}
