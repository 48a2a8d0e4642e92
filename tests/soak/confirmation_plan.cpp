#include "confirmation_plan.hpp"

#include <fmt/format.h>

#include <iterator>
#include <utility>

namespace bilberrylead::soak
{

namespace
{

/// One way, between hosts of different regions.
constexpr std::uint32_t region_delay_ms = 35;
constexpr std::uint32_t shortest_pause_ms = 50;
constexpr std::uint32_t longest_pause_ms = 700;
/// How long the load goes on for each change, seconds, and besides.
constexpr std::uint32_t load_s_per_round = 6;
constexpr std::uint32_t load_s_besides = 10;

struct zone_of_region
{
    char const* zone;
    char const* region;
};

constexpr zone_of_region zones[] = {{"north-a", "north"},
                                    {"south-a", "south"},
                                    {"east-a", "east"},
                                    {"north-b", "north"},
                                    {"south-b", "south"}};

} // namespace

confirmation_plan::confirmation_plan(soak_settings const& wanted)
    : settings(wanted), random(wanted.seed)
{
    this->lay_out();
    for (std::uint32_t count = 0; count < this->settings.faults; ++count)
    {
        this->play_round();
    }
    this->check();
}

void confirmation_plan::lay_out()
{
    for (zone_of_region const& each : zones)
    {
        this->say(fmt::format("zone {} in {}", each.zone, each.region));
    }
    this->say(fmt::format("delay {} between regions", region_delay_ms));
    if (this->settings.confirmation_wait_ms.has_value())
    {
        this->say(
            fmt::format(R"(settings control {{"confirmation_wait_ms":{}}})",
                        *this->settings.confirmation_wait_ms));
    }
    for (std::size_t place = 0; place < std::size(zones); ++place)
    {
        this->controls.push_back(fmt::format("c{}", place + 1));
        this->say(fmt::format("control {} in {}", this->controls.back(),
                              zones[place].zone));
    }
    for (std::size_t place = 0; place < this->settings.entry_hosts; ++place)
    {
        this->entries.push_back(fmt::format("e{}", place + 1));
        this->say(fmt::format("entry {} in {}", this->entries.back(),
                              zones[place % std::size(zones)].zone));
    }
    this->say("service lookup lookups");
    for (zone_of_region const& each : zones)
    {
        this->say(fmt::format("upstreams lookup 2 in {}", each.zone));
    }
    this->say("start all");
    this->say("found");
    this->say("apply");
    this->say("in-force");
    this->say("watch lookup");
    this->say(fmt::format(
        "load lookups lookup rate {} for {}", this->settings.lookups_per_s,
        load_s_per_round * this->settings.faults + load_s_besides));
}

void confirmation_plan::play_round()
{
    constexpr loss losses[] = {
        &confirmation_plan::kill_leader,
        &confirmation_plan::wipe_leader,
        &confirmation_plan::freeze_leader,
        &confirmation_plan::cut_leader,
        &confirmation_plan::kill_leader_and_another,
        &confirmation_plan::kill_successor_too,
        &confirmation_plan::kill_all,
        &confirmation_plan::freeze_all,
        &confirmation_plan::freeze_all_but_one,
        &confirmation_plan::kill_leader_beside_frozen_entry};
    this->say(fmt::format(
        "pause {}",
        shortest_pause_ms + this->draw(longest_pause_ms - shortest_pause_ms)));
    (this->*losses[this->draw(std::size(losses))])();
}

void confirmation_plan::check()
{
    this->say("leads as last");
    for (std::string const& control : this->controls)
    {
        this->expect_voter(control);
    }
    this->say("change 1");
    this->say("in-force");
    for (std::string const& control : this->controls)
    {
        this->say("wait-caught-up " + control);
    }
    this->say("finish lookups");
    this->say("expect lookups.run_twice == 0");
    this->say("expect lookups.not_run_but_ran == 0");
    this->say("expect no-decrease");
}

void confirmation_plan::kill_leader()
{
    this->begin("kill leader");
    this->say("kill now");
    this->expect_in_force();
    this->say("start now");
}

void confirmation_plan::wipe_leader()
{
    this->begin("kill leader, lose its disk");
    this->say("kill now");
    this->say("lose-disk now");
    this->expect_in_force();
    this->say("start now");
    this->expect_voter("now");
}

void confirmation_plan::freeze_leader()
{
    this->begin("freeze leader");
    this->say("freeze now");
    this->expect_in_force();
    this->say("thaw now");
}

/// Connections stay open and carry nothing.
void confirmation_plan::cut_leader()
{
    this->begin("cut leader from all");
    this->say("cut now from controls " + this->list_of(this->entries));
    this->expect_in_force();
    this->say("heal");
}

void confirmation_plan::kill_leader_and_another()
{
    this->begin("kill leader and another");
    std::string const other = this->controls[this->draw(this->controls.size())];
    // One host only if the drawn one leads.
    this->say("kill now " + other);
    this->expect_in_force();
    this->say("start now " + other);
}

void confirmation_plan::kill_successor_too()
{
    this->begin("kill leader, then its successor");
    this->say("kill now");
    this->say("leads other-than now as next");
    this->say("change 1");
    this->say("kill next");
    this->expect_in_force();
    this->say("start now next");
}

void confirmation_plan::kill_all()
{
    this->begin("kill all control hosts");
    this->say("kill controls");
    this->expect_in_force();
    this->say("start " + this->list_of(this->controls));
}

void confirmation_plan::freeze_all()
{
    this->begin("freeze all control hosts");
    this->say("freeze controls");
    this->expect_in_force();
    this->say("thaw controls");
}

/// No quorum is left, and the one that is left may not lead.
void confirmation_plan::freeze_all_but_one()
{
    this->begin("freeze all control hosts but one");
    std::string const left = this->controls[this->draw(this->controls.size())];
    this->say("freeze " + this->list_of(this->controls, left));
    this->expect_in_force();
    this->say("thaw " + this->list_of(this->controls, left));
}

/// An entry host that does not respond must not keep operators waiting.
void confirmation_plan::kill_leader_beside_frozen_entry()
{
    std::string const frozen = this->entries[this->draw(this->entries.size())];
    this->say("freeze " + frozen);
    this->begin("kill leader beside a frozen entry host");
    this->say("kill now");
    this->expect_in_force(" at " + this->list_of(this->entries, frozen));
    this->say("thaw " + frozen);
    this->say("start now");
    this->say("in-force");
}

void confirmation_plan::say(std::string line)
{
    this->steps.push_back(std::move(line));
}

/// A change is confirmed by the leader, which is called "now".
void confirmation_plan::begin(std::string const& kind)
{
    ++this->played[kind];
    this->say("leads as now");
    this->say("change 1");
}

void confirmation_plan::expect_in_force(std::string const& at)
{
    this->say(this->settings.in_force_bound_ms.has_value()
                  ? fmt::format("in-force within {}{}",
                                *this->settings.in_force_bound_ms, at)
                  : "in-force" + at);
}

void confirmation_plan::expect_voter(std::string const& name)
{
    this->say("wait-voter " + name);
}

std::uint32_t confirmation_plan::draw(std::size_t count)
{
    return this->random.below(static_cast<std::uint32_t>(count));
}

std::string confirmation_plan::list_of(std::vector<std::string> const& names,
                                       std::string const& without) const
{
    std::string list;
    for (std::string const& name : names)
    {
        if (name != without)
        {
            list += (list.empty() ? "" : " ") + name;
        }
    }
    return list;
}

} // namespace bilberrylead::soak
