#include "scenario_steps.hpp"

#include "wait_until.hpp"

#include <fmt/format.h>

#include <string>
#include <utility>
#include <vector>

/// Steps in which operators act, and what control hosts say of themselves.
namespace bilberrylead::scenario
{

namespace
{

using json = nlohmann::json;

constexpr int ctl_failed = 1;

} // namespace

// found
void scenario_steps::found(scenario_line const&)
{
    this->need(wait_until(
                   [this]()
                   {
                       return this->world.ctl({"found"}) == 0;
                   }),
               "no group could be founded");
    this->need(wait_until(
                   [this]()
                   {
                       return !this->world.leader().empty();
                   }),
               "nobody leads");
}

// apply: the declared configuration becomes the next revision
void scenario_steps::apply(scenario_line const&)
{
    std::string const outcome =
        this->apply_once({"apply", this->world.write_configuration()});
    this->need(outcome == "accepted", "the outcome is '" + outcome + "'");
}

// submit ID base REVISION [drained NAME] expect OUTCOME
void scenario_steps::submit(scenario_line const& line)
{
    config::configuration const before = this->world.declared();
    for (config::entry_host& host : this->world.declared().entry_hosts)
    {
        host.leaving = host.leaving || host.id.text() == line.after("drained");
    }
    std::string const file = this->world.write_configuration();
    this->world.declared() = before;
    std::string const outcome =
        this->apply_once({"apply", file, "--change-id", line.word(1), "--base",
                          line.after("base")});
    this->need(outcome == line.after("expect"),
               "the outcome is '" + outcome + "'");
}

// ctl ARGUMENTS...: bilberryctl, which has to succeed. A drain or undrain
// becomes part of what is declared, so that later changes keep it.
void scenario_steps::ctl(scenario_line const& line)
{
    std::vector<std::string> arguments(line.words.begin() + 1,
                                       line.words.end());
    arguments.insert(arguments.end(), {"--output", "json"});
    int const code = this->world.ctl(arguments);
    this->need(code == 0, fmt::format("bilberryctl ended with {}: {}", code,
                                      this->world.last_output()));
    bool const drains = arguments.front() == "drain";
    if (drains || arguments.front() == "undrain")
    {
        this->declare_leaving(arguments.at(1), drains);
    }
    json const answer = json::parse(this->world.last_output(), nullptr, false);
    if (answer.is_object() && answer.contains("revision"))
    {
        this->last_revision = answer.at("revision").get<std::uint64_t>();
    }
}

void scenario_steps::declare_leaving(std::string const& name, bool leaving)
{
    for (config::entry_host& host : this->world.declared().entry_hosts)
    {
        host.leaving = host.id.text() == name ? leaving : host.leaving;
    }
    for (config::upstream& upstream : this->world.declared().upstreams)
    {
        upstream.leaving =
            upstream.id.text() == name ? leaving : upstream.leaving;
    }
}

// leads as WORD | leads other-than WORD as WORD: waits for a leader, and
// remembers who it is
void scenario_steps::leads(scenario_line const& line)
{
    std::string const other_than = line.after("other-than");
    std::string const former =
        other_than.empty() ? std::string() : this->host_of(other_than);
    std::string found;
    bool const leads = wait_until(
        [this, &former, &found]()
        {
            found = this->world.leader();
            return !found.empty() && found != former;
        });
    this->need(leads, "'" + found + "' leads");
    this->remembered[line.after("as")] = found;
}

// refuses HOST base REVISION: an operator who reaches only this host gets
// no change accepted
void scenario_steps::refuses(scenario_line const& line)
{
    std::vector<std::string> const only = {this->host_of(line.word(1))};
    int const code = this->world.ctl_at(
        only, {"apply", this->world.write_configuration(), "--base",
               line.after("base"), "--timeout-ms", "1000"});
    this->need(code == ctl_failed,
               fmt::format("bilberryctl ended with {}: {}", code,
                           this->world.last_output()));
}

// follows HOST: it knows the leader that the others know
void scenario_steps::follows(scenario_line const& line)
{
    std::string const name = this->host_of(line.word(1));
    this->wait_for_status(
        name,
        [this](json const& status)
        {
            return status.value("role", "") == "follower" &&
                   status.value("leader", "") == this->world.leader();
        },
        "it does not follow");
}

// leaderless HOST: it knows of no leader
void scenario_steps::leaderless(scenario_line const& line)
{
    this->wait_for_status(
        this->host_of(line.word(1)),
        [](json const& status)
        {
            return status.value("leader", "unknown").empty();
        },
        "it knows of a leader");
}

// wait-voter HOST: it votes, in the life that it has now
void scenario_steps::wait_voter(scenario_line const& line)
{
    std::string const name = this->host_of(line.word(1));
    this->wait_for_status(
        name,
        [&name](json const& status)
        {
            for (json const& member : status.value("members", json::array()))
            {
                if (member.value("host", "") == name)
                {
                    return member.value("voter", false) &&
                           member.value("incarnation", std::uint64_t{0}) ==
                               status.value("incarnation", std::uint64_t{1});
                }
            }
            return false;
        },
        name + " does not vote");
}

// wait-caught-up HOST: it knows the newest revision
void scenario_steps::wait_caught_up(scenario_line const& line)
{
    this->wait_for_status(
        this->host_of(line.word(1)),
        [this](json const& status)
        {
            return status.value("revision", std::uint64_t{0}) >=
                   this->last_revision;
        },
        "it has not caught up");
}

// change COUNT: so many accepted changes, one after the other
void scenario_steps::change(scenario_line const& line)
{
    std::string const file = this->world.write_configuration();
    for (std::uint32_t left = line.count(1); left > 0; --left)
    {
        std::string const outcome = this->apply_once({"apply", file});
        this->need(outcome == "accepted", "the outcome is '" + outcome + "'");
    }
}

json scenario_steps::status_of(std::string const& control)
{
    this->world.ctl_at({control}, {"status", "--output", "json"});
    json const all = json::parse(this->world.last_output(), nullptr, false);
    if (!all.is_object() || all.at("control_hosts").empty())
    {
        return json::object();
    }
    return all.at("control_hosts").front();
}

template <class Condition>
void scenario_steps::wait_for_status(std::string const& control,
                                     Condition condition,
                                     std::string const& otherwise)
{
    json status;
    bool const fulfilled = wait_until(
        [this, &control, &condition, &status]()
        {
            status = this->status_of(control);
            return condition(status);
        });
    this->need(fulfilled, otherwise + ": " + status.dump());
}

std::string scenario_steps::apply_once(std::vector<std::string> arguments)
{
    arguments.insert(arguments.end(), {"--output", "json"});
    this->world.ctl(arguments);
    json const answer = json::parse(this->world.last_output(), nullptr, false);
    if (!answer.is_object())
    {
        return this->world.last_output();
    }
    std::string const outcome = answer.value("outcome", "");
    if (outcome == "accepted")
    {
        this->last_revision = answer.at("revision").get<std::uint64_t>();
    }
    return outcome;
}

} // namespace bilberrylead::scenario
