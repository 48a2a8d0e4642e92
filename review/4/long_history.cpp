#include "review/stand_ins_2/deployment.hpp"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

/// Hundreds of changes of a configuration with many routes, then all processes
/// of the core are killed at the same moment.
namespace
{

using namespace bilberrylead::review;

/// One big_config, at the count that the site file gives.
constexpr unsigned added_routes = 1400;
constexpr unsigned changes = 250;
constexpr double core_memory_mb = 256;
constexpr milliseconds for_changes{65'000};
constexpr milliseconds restart_delay{1000};
constexpr milliseconds for_recovery{30'000};

std::string version_text(unsigned number)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x", number);
    return text.data();
}

/// Version `number`: the first route's timeout changes with each.
std::string content(unsigned number)
{
    std::vector<std::string> rules{
        rule_of("/songs/", "safe", "songs", number % 2 == 0 ? "2.0" : "1.5")};
    rules.reserve(added_routes + 1);
    for (unsigned route = 0; route < added_routes; ++route)
    {
        rules.push_back(rule_of("/xapu" + std::to_string(route) + "/ny95/",
                                "safe", "songs", "1.5"));
    }
    return configuration_of(version_text(number), 16384, rules, {"songs"});
}

/// The platform's part: kills what uses more memory than the machine has, and
/// restarts what has ended.
class platform
{
public:
    platform(deployment& system, record& lines) : system(system), lines(lines)
    {
    }

    void step()
    {
        for (std::size_t place = 0; place < this->system.cores().size();
             ++place)
        {
            machine& core = this->system.core(place);
            double const used =
                core.process > 0 ? deployment::memory_mb(core) : 0;
            this->most_mb = std::max(this->most_mb, used);
            if (used > core_memory_mb)
            {
                ++this->kills;
                this->lines.line("process " + core.name + " uses " +
                                 std::to_string(used) + " MB and is killed");
                this->system.send_signal(core, SIGKILL);
            }
        }
        this->system.check_processes();
        for (std::size_t place = 0; place < this->system.cores().size();
             ++place)
        {
            machine& core = this->system.core(place);
            if (core.process == 0 && clock::now() >= this->restart_at[place])
            {
                this->system.restart(core);
            }
            if (core.process > 0)
            {
                this->restart_at[place] = clock::now() + restart_delay;
            }
        }
    }

    unsigned memory_kills() const
    {
        return this->kills;
    }

    double peak_mb() const
    {
        return this->most_mb;
    }

private:
    deployment& system;
    record& lines;
    unsigned kills = 0;
    double most_mb = 0;
    std::array<clock::time_point, 3> restart_at{};
};

} // namespace

int main(int count, char const** values)
{
    if (count != 2)
    {
        return 2;
    }
    char const* const wanted = std::getenv("TROUBLE");
    bool const trouble = wanted == nullptr || std::string(wanted) != "0";
    record lines(values[1]);
    deployment system(lines, {});
    backend const& only = system.add_backend("i-0", "songs", milliseconds(50));
    system.set_list(
        [&only]
        {
            return deployment::list({deployment::row(only, "ready")});
        });
    system.start(content(1));

    platform watched(system, lines);
    unsigned newest = 1;
    clock::time_point const until = clock::now() + for_changes;
    while (newest < changes && clock::now() < until)
    {
        if (system.order("/api/config/put", content(newest + 1),
                         std::chrono::seconds(10)) != 200)
        {
            system.give_up("a change was not acknowledged");
        }
        ++newest;
        watched.step();
        if (newest % 25 == 0)
        {
            lines.line("version " + version_text(newest) +
                       " is acknowledged; most memory of a core process " +
                       std::to_string(watched.peak_mb()) + " MB");
        }
    }
    lines.line("version " + version_text(newest) + " is acknowledged, " +
               std::to_string(content(newest).size()) + " bytes each");
    if (trouble)
    {
        lines.line("all processes of the core are killed");
        for (machine const& core : system.cores())
        {
            system.send_signal(core, SIGKILL);
        }
    }
    unsigned const kills_before = watched.memory_kills();
    std::string held;
    clock::time_point const end = clock::now() + for_recovery;
    std::thread operator_reads(
        [&system, &held, end]
        {
            std::this_thread::sleep_for(std::chrono::seconds(3));
            held = system.read_version(
                std::chrono::duration_cast<milliseconds>(end - clock::now()));
        });
    while (clock::now() < end)
    {
        watched.step();
        std::this_thread::sleep_for(milliseconds(5));
    }
    operator_reads.join();
    unsigned const kills = watched.memory_kills() - kills_before;
    bool const broken = held != version_text(newest);
    lines.line(std::string(broken ? "BROKEN" : "held") + ": read back " +
               (held.empty() ? "nothing" : "version " + held) + ", newest " +
               version_text(newest) + "; " + std::to_string(kills) +
               " processes killed for their memory, most " +
               std::to_string(watched.peak_mb()) + " MB");
    return broken ? 1 : 0;
}
