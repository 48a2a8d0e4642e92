#include "scenario_steps.hpp"

#include "http_call.hpp"
#include "wait_until.hpp"

#include <fmt/format.h>

#include <signal.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

/// Steps in which something fails, or is stopped as planned.
namespace bilberrylead::scenario
{

// kill NAME... | kill leader | kill controls: at the same moment
void scenario_steps::kill(scenario_line const& line)
{
    this->world.signal_all(this->hosts_of(line), SIGKILL);
}

// stop NAME: asks for a planned stop
void scenario_steps::stop(scenario_line const& line)
{
    this->world.process(this->host_of(line.word(1))).signal(SIGTERM);
}

// ended NAME: waits for the end of a planned stop, which must be clean
void scenario_steps::ended(scenario_line const& line)
{
    std::string const name = this->host_of(line.word(1));
    std::optional<int> const code = this->world.process(name).wait(patience);
    this->need(code.has_value(), "it still runs");
    this->need(*code == 0, fmt::format("it ended with {}", *code));
    this->world.kill(name);
}

// freeze NAME... | freeze leader | freeze controls: at the same moment
void scenario_steps::freeze(scenario_line const& line)
{
    this->world.signal_all(this->hosts_of(line), SIGSTOP);
}

// thaw NAME... | thaw controls
void scenario_steps::thaw(scenario_line const& line)
{
    this->world.signal_all(this->hosts_of(line), SIGCONT);
}

// delay MILLISECONDS between regions: one way, for hosts that start later
void scenario_steps::delay(scenario_line const& line)
{
    this->world.delay_regions(std::chrono::milliseconds(line.count(1)));
}

// lose-disk NAME
void scenario_steps::lose_disk(scenario_line const& line)
{
    this->world.lose_disk(this->host_of(line.word(1)));
}

// cut NAME from OTHER... [outgoing|incoming]
void scenario_steps::cut(scenario_line const& line)
{
    std::string const name = this->host_of(line.word(1));
    std::vector<std::string> others;
    relay_mode outgoing = relay_mode::silent;
    relay_mode incoming = relay_mode::silent;
    for (std::size_t place = 3; place < line.words.size(); ++place)
    {
        std::string const& word = line.word(place);
        if (word == "outgoing")
        {
            incoming = relay_mode::open;
        }
        else if (word == "incoming")
        {
            outgoing = relay_mode::open;
        }
        else if (word == "controls")
        {
            std::vector<std::string> const names = this->other_controls(name);
            others.insert(others.end(), names.begin(), names.end());
        }
        else
        {
            others.push_back(this->host_of(word));
        }
    }
    this->world.cut(name, others, outgoing, incoming);
}

// cut-zone ZONE: from all other zones, both ways
void scenario_steps::cut_zone(scenario_line const& line)
{
    this->world.cut_zone(line.word(1), relay_mode::silent);
}

/// The hosts that a line names behind its first word.
std::vector<std::string> scenario_steps::hosts_of(scenario_line const& line)
{
    std::vector<std::string> names;
    for (std::size_t place = 1; place < line.words.size(); ++place)
    {
        if (line.word(place) == "controls")
        {
            std::vector<std::string> const all = this->world.control_names();
            names.insert(names.end(), all.begin(), all.end());
        }
        else
        {
            names.push_back(this->host_of(line.word(place)));
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

std::vector<std::string>
scenario_steps::other_controls(std::string const& name) const
{
    std::vector<std::string> names = this->world.control_names();
    std::erase(names, name);
    return names;
}

// heal: every cut | heal NAME from OTHER|controls: the cuts between these
void scenario_steps::heal(scenario_line const& line)
{
    if (line.words.size() == 1)
    {
        this->world.heal();
        return;
    }
    std::string const name = this->host_of(line.word(1));
    std::string const& other = line.word(3);
    this->world.cut(name,
                    other == "controls"
                        ? this->other_controls(name)
                        : std::vector<std::string>{this->host_of(other)},
                    relay_mode::open, relay_mode::open);
}

// set STAND-IN JSON: changes how stand-in upstreams behave
void scenario_steps::set(scenario_line const& line)
{
    call_result const answer = call(this->world.admin_port(line.word(1)), "PUT",
                                    "/stand-in/behaviour", line.rest(2));
    this->need(answer.status == 200,
               fmt::format("status {}: {}", answer.status, answer.body));
}

} // namespace bilberrylead::scenario
