#include "confirmation_plan.hpp"
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
    TCLAP::SwitchArg confirmations(
        "", "confirmations",
        "Draws changes whose leader is lost when they are confirmed", line);
    TCLAP::ValueArg<std::uint32_t> bound(
        "", "in-force-bound-ms", "With --confirmations: time to be in force",
        false, 0, "milliseconds", line);
    TCLAP::ValueArg<std::uint32_t> wait(
        "", "confirmation-wait-ms",
        "With --confirmations: the setting of the control hosts", false, 0,
        "milliseconds", line);
    TCLAP::SwitchArg plan("", "plan", "Prints the plan and ends", line);
    line.parse(count, values);
    asked.binaries = binaries.getValue();
    asked.settings.seed = seed.getValue();
    asked.settings.faults = faults.getValue();
    asked.settings.entry_hosts = entries.getValue();
    asked.settings.upstream_faults = upstreams.getValue();
    asked.settings.upstream_rests = rests.getValue();
    asked.settings.confirmations = confirmations.getValue();
    if (bound.isSet())
    {
        asked.settings.in_force_bound_ms = bound.getValue();
    }
    if (wait.isSet())
    {
        asked.settings.confirmation_wait_ms = wait.getValue();
    }
    asked.shows_plan_only = plan.getValue();
    return asked;
}

/// The options that name a plan, for a repetition.
std::string options_of(soak::soak_settings const& settings)
{
    std::string text =
        fmt::format("--seed {} --faults {} --entry-hosts {}{}{}{}",
                    settings.seed, settings.faults, settings.entry_hosts,
                    settings.upstream_faults ? " --upstream-faults" : "",
                    settings.upstream_rests ? " --upstream-rests" : "",
                    settings.confirmations ? " --confirmations" : "");
    if (settings.in_force_bound_ms.has_value())
    {
        text +=
            fmt::format(" --in-force-bound-ms {}", *settings.in_force_bound_ms);
    }
    if (settings.confirmation_wait_ms.has_value())
    {
        text += fmt::format(" --confirmation-wait-ms {}",
                            *settings.confirmation_wait_ms);
    }
    return text;
}

template <class Plan>
int run(soak_command const& asked)
{
    Plan const plan(asked.settings);
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
        fmt::print("again: soak_runner {} {}\n", asked.binaries,
                   options_of(asked.settings));
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
        soak_command const asked = read_command(count, values);
        return asked.settings.confirmations
                   ? run<soak::confirmation_plan>(asked)
                   : run<soak::soak_plan>(asked);
    }
    catch (std::exception const& wrong)
    {
        fmt::print(stderr, "soak_runner: {}\n", wrong.what());
        return 2;
    }
}
