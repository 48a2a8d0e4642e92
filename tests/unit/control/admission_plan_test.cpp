#include "bilberrylead/control/control_reducer.hpp"

#include "tests/unit/control/control_group.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::tests;
using namespace std::chrono_literals;

namespace
{

constexpr duration heartbeat_interval = 500ms;

/// A control host of region "r" with admission by plan, where service "s" has
/// 10 slots in 5 upstreams.
void enable_admission(control::control_reducer_settings& settings,
                      control::control_started& started)
{
    settings.region = region_id("r");
    settings.zone = zone_id("z");
    settings.places = {{zone_id("z"), region_id("r"), {}}};
    settings.admission = config::admission_mode::by_plan;
    discovery::list_changes& listing = started.listing.emplace();
    listing.target = {1, 1};
    listing.is_full = true;
    for (std::size_t number = 0; number < 5; ++number)
    {
        discovery::reported_upstream told;
        told.upstream.id = upstream_id("i-" + std::to_string(number));
        told.upstream.service = service_id("s");
        told.upstream.zone = zone_id("z");
        told.upstream.slots = 2;
        listing.put.push_back(told);
    }
}

void disable_admission(control::control_reducer_settings& settings,
                       control::control_started& started)
{
    enable_admission(settings, started);
    settings.admission = config::admission_mode::none;
}

link::entry_presence presence(bool reports)
{
    link::entry_presence content;
    content.zone = zone_id("z");
    content.region = region_id("r");
    content.ready = true;
    content.demands = {{service_id("s"), 5000}};
    if (reports)
    {
        // 2 slots of rank 0 and 3 of rank 1, of which one customer has 2.
        content.admission = std::vector<link::admission_rows>{
            {service_id("s"),
             {{0, 2000}, {1, 3000}},
             {{customer_id("large"), 1, 2000},
              {customer_id("small"), 1, 100}}}};
    }
    return content;
}

/// Three control hosts and entry hosts that are linked to all of them.
struct admission_fleet
{
    explicit admission_fleet(
        std::size_t count,
        decltype(&enable_admission) adjust = enable_admission)
        : group(std::nullopt, adjust)
    {
        for (std::size_t host = 0; host < count; ++host)
        {
            this->add_host();
        }
        this->leader = this->group.wait_for_leader();
    }

    void add_host()
    {
        for (std::size_t index = 0; index < control_group::hosts; ++index)
        {
            this->group.connect(index, control_group::entry_link + this->hosts,
                                host_id("e" + std::to_string(this->hosts)),
                                link::peer_role::entry);
        }
        this->hosts += 1;
    }

    /// Advances time; entry hosts send heartbeats, those in `silent` none and
    /// those in `not_reporting` without demand for admission.
    void run_for(duration time)
    {
        instant const end = this->group.time + time;
        while (this->group.time < end)
        {
            if (this->group.time >= this->next_heartbeat)
            {
                this->next_heartbeat = this->group.time + heartbeat_interval;
                this->send_heartbeats();
            }
            this->group.advance(1);
        }
    }

    void send_heartbeats()
    {
        for (std::size_t host = 0; host < this->hosts; ++host)
        {
            for (std::size_t index = 0; index < control_group::hosts; ++index)
            {
                if (!this->silent.contains(host) &&
                    !this->group.frozen.contains(index))
                {
                    this->group.dispatch(
                        index,
                        {control::peer_message{
                            control_group::entry_link + host,
                            presence(!this->not_reporting.contains(host))}});
                }
            }
        }
        this->group.deliver();
    }

    /// The admission plans that a control host sent to an entry host.
    std::vector<link::region_plan> plans(std::size_t index, std::size_t host)
    {
        std::vector<link::region_plan> found;
        for (link::message const& each : this->group.sent_to_entry_hosts[{
                 index, control_group::entry_link + host}])
        {
            link::region_plan const* const plan =
                std::get_if<link::region_plan>(&each);
            if (plan != nullptr && plan->admission.has_value())
            {
                found.push_back(*plan);
            }
        }
        return found;
    }

    void forget_sent()
    {
        this->group.sent_to_entry_hosts.clear();
    }

    control_group group;
    std::size_t hosts = 0;
    std::size_t leader = 0;
    std::set<std::size_t> silent;
    std::set<std::size_t> not_reporting;
    instant next_heartbeat{};
};

/// A single control host of region "r" with admission by plan.
struct admission_follower
{
    explicit admission_follower(
        decltype(&enable_admission) adjust = enable_admission)
    {
        control::control_reducer_settings settings;
        control::control_started started;
        settings.self = control_host(0);
        adjust(settings, started);
        // Files of earlier versions and later ones may hold any plan.
        started.plan = plan(3, 4);
        this->host.emplace(settings, process_seed(settings.self, 1));
        this->dispatch(started);
        this->dispatch(control::peer_connected{
            1, {control_host(1), link::peer_role::control, 1}});
        this->dispatch(control::peer_connected{
            2, {host_id("e1"), link::peer_role::entry, 1}});
    }

    static link::region_plan plan(std::uint64_t term, std::uint64_t number)
    {
        link::region_plan content{term, {}};
        link::admission_shares shares;
        shares.number = number;
        shares.age = 200ms;
        content.admission = shares;
        return content;
    }

    void dispatch(control::control_event const& event)
    {
        this->last_effects = this->host->reduce({&event, 1}, this->now);
    }

    /// The plan that an entry host receives which starts now.
    std::optional<link::region_plan> plan_for_new_host()
    {
        this->dispatch(control::peer_disconnected{2});
        this->dispatch(control::peer_connected{
            2, {host_id("e1"), link::peer_role::entry, 1}});
        this->dispatch(control::peer_message{2, presence(false)});
        for (control::control_effect const& effect : this->last_effects)
        {
            control::send_to_peer const* const sent =
                std::get_if<control::send_to_peer>(&effect);
            if (sent != nullptr &&
                std::holds_alternative<link::region_plan>(sent->content))
            {
                return std::get<link::region_plan>(sent->content);
            }
        }
        return std::nullopt;
    }

    instant now = instant{} + 1h;
    std::optional<control::control_reducer> host;
    std::vector<control::control_effect> last_effects;
};

} // namespace

// 4 hosts with 5 slots of demand each compete for 10 slots.
Test(admission_plan, leader_plans_for_every_entry_host)
{
    admission_fleet fleet(4);
    fleet.run_for(5s);
    for (std::size_t host = 0; host < fleet.hosts; ++host)
    {
        std::vector<link::region_plan> const plans =
            fleet.plans(fleet.leader, host);
        cr_assert(plans.size() >= 2);
        link::admission_shares const shares = *plans.back().admission;
        cr_expect(shares.number > plans.front().admission->number);
        cr_expect_eq(shares.age, duration::zero());
        cr_assert_eq(shares.services.size(), 1U);
        std::vector<link::admission_rank> const ranks =
            shares.services.front().ranks;
        cr_assert_eq(ranks.size(), 2U);
        cr_expect_eq(ranks[0].amount, 1000U);
        cr_expect(ranks[1].amount < 1000U);
    }
}

// Guards against plans, and against messages that older hosts cannot read,
// where admission by plan is not set.
Test(admission_plan, nothing_is_planned_without_the_setting)
{
    admission_fleet fleet(4, disable_admission);
    fleet.run_for(5s);
    for (std::size_t index = 0; index < control_group::hosts; ++index)
    {
        cr_expect(fleet.plans(index, 0).empty());
        cr_expect_eq(fleet.group.nodes.at(index)->admission_plans(), 0U);
    }
}

// Guards against a plan from the demand of a few hosts, which refuses nobody.
Test(admission_plan, leader_waits_for_the_reports_of_most_hosts)
{
    admission_fleet fleet(4);
    fleet.not_reporting = {0, 1};
    fleet.run_for(5s);
    cr_expect(fleet.plans(fleet.leader, 3).empty());
    fleet.not_reporting = {0};
    fleet.run_for(2s);
    cr_expect_not(fleet.plans(fleet.leader, 3).empty());
}

// The leader is lost. Guards against a new leader's plan that entry hosts take
// for an older one, and against a plan that is passed on when it is too old.
Test(admission_plan, new_leader_plans_in_its_own_term)
{
    admission_fleet fleet(4);
    fleet.run_for(5s);
    std::uint64_t const old_term = fleet.plans(fleet.leader, 0).back().term;
    std::size_t const old_leader = fleet.leader;
    fleet.group.isolated.insert(old_leader);
    fleet.group.frozen.insert(old_leader);
    fleet.forget_sent();
    fleet.leader = fleet.group.wait_for_leader();
    fleet.run_for(5s);
    std::vector<link::region_plan> const plans = fleet.plans(fleet.leader, 0);
    cr_assert_not(plans.empty());
    cr_expect(plans.back().term > old_term);
    for (std::size_t index = 1; index < plans.size(); ++index)
    {
        cr_expect(plans[index].admission->number >
                  plans[index - 1].admission->number);
    }
}

// The leader is cut off from the other control hosts, together with the entry
// hosts. Guards against two leaders that plan at the same time.
Test(admission_plan, leader_without_a_lease_stops_planning)
{
    admission_fleet fleet(4);
    fleet.run_for(5s);
    cr_assert_not(fleet.plans(fleet.leader, 0).empty());
    fleet.group.isolated.insert(fleet.leader);
    fleet.run_for(3s);
    fleet.forget_sent();
    fleet.run_for(5s);
    cr_expect(fleet.plans(fleet.leader, 0).empty());
}

// One of four entry hosts is cut off while its link stays open, then all of
// its links close and it returns.
Test(admission_plan, plan_continues_without_a_host_that_is_cut_off)
{
    admission_fleet fleet(4);
    fleet.run_for(5s);
    fleet.silent.insert(3);
    fleet.run_for(5s);
    fleet.forget_sent();
    fleet.run_for(2s);
    std::vector<link::region_plan> const plans = fleet.plans(fleet.leader, 0);
    cr_assert_not(plans.empty());
    fleet.silent.insert({1, 2});
    fleet.run_for(5s);
    fleet.forget_sent();
    fleet.run_for(2s);
    cr_expect(fleet.plans(fleet.leader, 0).empty(),
              "one of four hosts is too few");
    fleet.silent.clear();
    fleet.run_for(2s);
    cr_expect_not(fleet.plans(fleet.leader, 0).empty());
}

// The number of hosts doubles. Guards against a plan that new hosts do not
// receive, and against one that stays at the demand of the first hosts.
Test(admission_plan, added_hosts_are_planned_for)
{
    admission_fleet fleet(2);
    fleet.run_for(5s);
    std::uint32_t const before = fleet.plans(fleet.leader, 0)
                                     .back()
                                     .admission->services.front()
                                     .ranks.back()
                                     .amount;
    fleet.add_host();
    fleet.add_host();
    fleet.run_for(5s);
    std::vector<link::region_plan> const plans = fleet.plans(fleet.leader, 3);
    cr_assert_not(plans.empty());
    cr_expect(plans.back().admission->services.front().ranks.back().amount <
              before);
}

Test(admission_plan, plan_of_an_older_term_or_number_is_ignored)
{
    admission_follower follower;
    follower.dispatch(control::peer_message{1, follower.plan(3, 5)});
    cr_assert(follower.host->admission_plan().has_value());
    for (link::region_plan const& each :
         {follower.plan(3, 4), follower.plan(2, 9), follower.plan(3, 5)})
    {
        follower.dispatch(control::peer_message{1, each});
        cr_expect_eq(follower.host->admission_plan()->term, 3U);
        cr_expect_eq(follower.host->admission_plan()->shares.number, 5U);
    }
    follower.dispatch(control::peer_message{2, follower.plan(9, 9)});
    cr_expect_eq(follower.host->admission_plan()->term, 3U,
                 "an entry host sends no plans");
    follower.dispatch(control::peer_message{1, follower.plan(4, 1)});
    cr_expect_eq(follower.host->admission_plan()->term, 4U);
}

// The setting is changed host by host. Guards against a control host without it
// that passes a plan on, in a message that entry hosts of an earlier version
// cannot read.
Test(admission_plan, plan_is_not_passed_on_without_the_setting)
{
    admission_follower follower(disable_admission);
    follower.dispatch(control::peer_message{1, follower.plan(3, 5)});
    cr_expect_not(follower.host->admission_plan().has_value());
    std::optional<link::region_plan> const plan = follower.plan_for_new_host();
    cr_assert(plan.has_value());
    cr_expect_eq(plan->term, 3U);
    cr_expect_not(plan->admission.has_value());
}

// An entry host that starts receives the plan from any control host. Guards
// against a plan that appears newer at each host that passes it on.
Test(admission_plan, plan_is_passed_on_with_its_age)
{
    admission_follower follower;
    follower.dispatch(control::peer_message{1, follower.plan(3, 5)});
    follower.now += 3s;
    std::optional<link::region_plan> plan = follower.plan_for_new_host();
    cr_assert(plan.has_value());
    cr_assert(plan->admission.has_value());
    cr_expect_eq(plan->admission->age, duration(3200ms));
    follower.now += 7s;
    plan = follower.plan_for_new_host();
    cr_assert(plan.has_value());
    cr_expect_not(plan->admission.has_value(), "it is too old");
}

// A control host restarts. The time that this took is unknown, and so is the
// age of the plan.
Test(admission_plan, restarted_control_host_passes_on_no_stored_plan)
{
    admission_follower follower;
    std::optional<link::region_plan> const plan = follower.plan_for_new_host();
    cr_assert(plan.has_value());
    cr_expect_not(plan->admission.has_value());
    follower.dispatch(control::peer_message{1, follower.plan(3, 5)});
    cr_expect_not(follower.host->plan()->admission.has_value(),
                  "what is stored contains no admission plan");
}

Test(admission_plan, operators_read_it_from_the_leader)
{
    admission_fleet fleet(4);
    fleet.run_for(5s);
    fleet.group.request(fleet.leader, 1, control::read_admission{});
    fleet.group.request((fleet.leader + 1) % control_group::hosts, 2,
                        control::read_admission{});
    cr_expect(std::holds_alternative<absl::Status>(fleet.group.answer_to(2)));
    control::admission_reply const* const reply =
        std::get_if<control::admission_reply>(&fleet.group.answer_to(1));
    cr_assert_not_null(reply);
    cr_expect(reply->by_plan);
    cr_expect(reply->number > 0);
    cr_expect(reply->age < duration(2s));
    cr_expect_eq(reply->hosts, 4U);
    cr_expect_eq(reply->reporting, 4U);
    cr_assert_eq(reply->services.size(), 1U);
    control::admission_status const& status = reply->services.front();
    cr_expect_eq(status.slots, 10);
    cr_assert_eq(status.ranks.size(), 2U);
    cr_expect_eq(status.ranks[0].demand, 8);
    cr_expect_eq(status.ranks[1].demand, 12);
    cr_expect(status.ranks[0].share > status.ranks[1].share);
    cr_assert_eq(status.customers.size(), 1U);
    cr_expect_eq(status.customers[0].customer, customer_id("large"));
}
