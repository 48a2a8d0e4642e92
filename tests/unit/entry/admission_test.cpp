#include "tests/unit/entry/entry_fleet.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

constexpr duration run_time = 100ms;
constexpr duration step = 10ms;
constexpr std::size_t upstreams = 6;
constexpr std::uint32_t slots = 2;
constexpr std::size_t queue_length = 6;

/// Load and settings of an `admission_fleet`.
struct fleet_load
{
    config::admission_mode mode = config::admission_mode::none;
    std::size_t hosts = 10;
    /// Ranks of the three routes.
    std::array<std::uint32_t, 3> ranks = {0, 1, 2};
    /// Offered work relative to the capacity.
    double offered = 1.5;
};

/// Entry hosts that share six upstreams, each with two slots and a short queue.
/// A third of the requests is for each of three routes. A new plan is computed
/// every second from the demands of all hosts.
class admission_fleet
{
public:
    explicit admission_fleet(fleet_load const& offered_load)
        : load(offered_load), running(upstreams), queues(upstreams)
    {
        auto content = make_one_route({{service_id("read"), 1}});
        config::request_route const route = content->request_routes.front();
        content->request_routes.clear();
        for (std::size_t each = 0; each < this->load.ranks.size(); ++each)
        {
            content->request_routes.push_back(route);
            content->request_routes.back().path_prefix = path_of(each);
            content->request_routes.back().priority = this->load.ranks.at(each);
        }
        content->customers = {
            {customer_id("usual"), {"usual-key"}, 0, 0, 0, {}},
            {customer_id("bulk"), {"bulk-key"}, 0, 0, 2, {}}};
        auto listing = std::make_shared<listed_upstreams>();
        for (std::size_t each = 0; each < upstreams; ++each)
        {
            listing->push_back(
                make_listed("read", std::to_string(each), slots));
        }
        for (std::size_t host = 0; host < this->load.hosts; ++host)
        {
            entry_settings settings;
            settings.self = host_id(fmt::format("edge-{}", host));
            settings.zone = zone_id("z1");
            settings.region = region_id("r1");
            settings.places = {{zone_id("z1"), region_id("r1"), {}}};
            settings.upstreams_are_listed = true;
            settings.waiting = config::waiting_place::upstream;
            settings.admission = this->load.mode;
            this->hosts.push_back(std::make_unique<entry_reducer>(
                settings, process_seed(settings.self, 1)));
            this->reduce(host, configuration_received{1, content});
            this->reduce(host, upstreams_listed{listing});
        }
    }

    void run_for(duration time)
    {
        double const per_step =
            this->load.offered * upstreams * slots *
            (std::chrono::duration<double>(step) / run_time);
        for (duration passed{}; passed < time; passed += step)
        {
            this->now += step;
            for (double expected = per_step; expected > 0; expected -= 1)
            {
                if (this->random.unit() < std::min(expected, 1.0))
                {
                    this->arrive_somewhere();
                }
            }
            this->finish_runs();
            for (std::size_t host = 0; host < this->hosts.size(); ++host)
            {
                this->reduce(host, tick{});
            }
            if (passed % 1s == 0s &&
                this->load.mode == config::admission_mode::by_plan)
            {
                this->send_plan();
            }
        }
    }

    /// Passes a request to a host. Returns its number.
    request_number arrive(std::size_t host, std::size_t route,
                          std::string const& key = "usual-key")
    {
        request_arrived arrival = make_arrival(++this->last_request);
        arrival.path = path_of(route) + "x";
        arrival.customer_key = key;
        this->routes[arrival.request] = route;
        this->reduce(host, arrival);
        return arrival.request;
    }

    /// Passes a plan with one share for rank 2 to a host.
    void apply_plan(std::size_t host, double share, duration age)
    {
        admission_plan_received event;
        event.plans = {
            {service_id("read"), region_id("r1"), {{1, 1}, {2, share}}, {}},
            {service_id("read"), region_id("r2"), {{0, 0}}, {}},
            {service_id("unknown"), region_id("r1"), {{0, 0}}, {}}};
        event.age = age;
        event.source = host_id("control-1");
        this->reduce(host, event);
    }

    entry_reducer& host(std::size_t number)
    {
        return *this->hosts[number];
    }

    double served_share(std::size_t route) const
    {
        auto const& [served, ended] = this->outcomes.at(route);
        return ended == 0
                   ? 1
                   : static_cast<double>(served) / static_cast<double>(ended);
    }

    /// Ends of requests, in order.
    std::vector<request_ended> ends;
    /// Decisions, in order, as text.
    std::vector<std::string> decisions;
    /// Served and ended requests by route.
    std::array<std::pair<std::size_t, std::size_t>, 3> outcomes{};
    instant now = instant{} + 1h;

private:
    struct sent_request
    {
        std::size_t host = 0;
        request_number number{};
        instant ends_at{};
    };

    static std::string path_of(std::size_t route)
    {
        return fmt::format("/{}/", route);
    }

    void arrive_somewhere()
    {
        std::uint32_t const host =
            this->random.below(static_cast<std::uint32_t>(this->hosts.size()));
        this->arrive(host, this->random.below(3));
    }

    void reduce(std::size_t host, event const& event)
    {
        for (effect const& each : this->hosts[host]->reduce(event, this->now))
        {
            if (start_upstream const* const sent =
                    std::get_if<start_upstream>(&each))
            {
                this->decisions.push_back("to " + sent->upstream.text());
                this->accept(host, *sent);
            }
            else if (answer_not_run const* const refused =
                         std::get_if<answer_not_run>(&each))
            {
                this->decisions.push_back(
                    fmt::format("refused {}", refused->retry_after.count()));
            }
            else if (request_ended const* const ended =
                         std::get_if<request_ended>(&each))
            {
                auto& [served, all] =
                    this->outcomes.at(this->routes[ended->request]);
                served += ended->outcome == request_outcome::answered ? 1U : 0U;
                ++all;
                this->ends.push_back(*ended);
            }
        }
    }

    void accept(std::size_t host, start_upstream const& sent)
    {
        std::size_t const at = std::stoul(sent.upstream.text());
        sent_request const accepted{host, sent.request, this->now + run_time};
        if (this->running[at].size() < slots)
        {
            this->running[at].push_back(accepted);
        }
        else if (this->queues[at].size() < queue_length)
        {
            this->queues[at].push_back(accepted);
        }
        else
        {
            upstream_head_received head;
            head.request = sent.request;
            head.status = 503;
            head.not_run = true;
            this->heads.emplace_back(host, head);
        }
    }

    void finish_runs()
    {
        std::vector<std::pair<std::size_t, upstream_head_received>> const
            refusals = std::exchange(this->heads, {});
        for (auto const& [host, head] : refusals)
        {
            this->reduce(host, head);
        }
        for (std::size_t at = 0; at < upstreams; ++at)
        {
            std::deque<sent_request>& slots_of = this->running[at];
            while (!slots_of.empty() && slots_of.front().ends_at <= this->now)
            {
                sent_request const done = slots_of.front();
                slots_of.pop_front();
                if (!this->queues[at].empty())
                {
                    slots_of.push_back(this->queues[at].front());
                    slots_of.back().ends_at = this->now + run_time;
                    this->queues[at].pop_front();
                }
                upstream_head_received head;
                head.request = done.number;
                head.status = 200;
                upstream_load reported;
                reported.running = static_cast<std::uint32_t>(slots_of.size());
                reported.waiting =
                    static_cast<std::uint32_t>(this->queues[at].size());
                head.load = reported;
                this->reduce(done.host, head);
                this->reduce(done.host,
                             upstream_answer_finished{done.number, {}});
            }
        }
    }

    void send_plan()
    {
        std::map<std::uint32_t, double> demand;
        for (std::unique_ptr<entry_reducer> const& each : this->hosts)
        {
            for (policy::admission_demand const& service :
                 each->admission_demands())
            {
                for (policy::rank_demand const& rank : service.ranks)
                {
                    demand[rank.rank] += rank.slots;
                }
            }
        }
        admission_plan_received event;
        event.plans.push_back({service_id("read"), region_id("r1"), {}, {}});
        double left = upstreams * slots;
        for (auto const& [rank, wanted] : demand)
        {
            event.plans.front().ranks.push_back(
                {rank, wanted <= left ? 1 : left / wanted});
            left = std::max(0.0, left - wanted);
        }
        event.source = host_id("control-1");
        for (std::size_t host = 0; host < this->hosts.size(); ++host)
        {
            this->reduce(host, event);
        }
    }

    fleet_load load;
    policy::generator random{7};
    std::vector<std::unique_ptr<entry_reducer>> hosts;
    std::vector<std::deque<sent_request>> running;
    std::vector<std::deque<sent_request>> queues;
    std::vector<std::pair<std::size_t, upstream_head_received>> heads;
    std::map<request_number, std::size_t> routes;
    std::uint64_t last_request = 0;
};

std::vector<std::string> decisions_of(fleet_load const& load)
{
    admission_fleet fleet(load);
    fleet.run_for(10s);
    return fleet.decisions;
}

} // namespace

// Guards against ranks that change decisions of a deployment that has not
// enabled admission.
Test(admission, mode_none_decides_regardless_of_rank)
{
    fleet_load load;
    std::vector<std::string> const ranked = decisions_of(load);
    load.ranks = {0, 0, 0};
    cr_expect(ranked == decisions_of(load));
    cr_expect_gt(ranked.size(), 1000U);
}

// Guards against a part that changes decisions where all ranks are equal.
Test(admission, equal_ranks_are_decided_as_without_admission)
{
    fleet_load load;
    load.ranks = {1, 1, 1};
    std::vector<std::string> const without = decisions_of(load);
    load.mode = config::admission_mode::by_rank;
    cr_expect(without == decisions_of(load));
}

// Guards against chance that decides who is served, over the whole entry host:
// ten hosts, a third of the requests in each of ranks 0, 1 and 2, at 1.5 times
// the capacity.
Test(admission, urgent_ranks_are_served_first)
{
    for (config::admission_mode const mode :
         {config::admission_mode::by_rank, config::admission_mode::by_plan})
    {
        fleet_load load;
        load.mode = mode;
        admission_fleet fleet(load);
        fleet.run_for(10s);
        fleet.outcomes = {};
        fleet.run_for(20s);
        cr_log_info("served: %.3f %.3f %.3f", fleet.served_share(0),
                    fleet.served_share(1), fleet.served_share(2));
        cr_expect_gt(fleet.served_share(0), 0.95);
        cr_expect_geq(fleet.served_share(1), fleet.served_share(2) - 0.05);
        cr_expect_gt(fleet.served_share(0), fleet.served_share(2) + 0.2);
    }
}

// Guards against a refusal whose cause can't be found in the log.
Test(admission, refused_request_states_rank_share_and_plan)
{
    fleet_load load;
    load.hosts = 1;
    load.mode = config::admission_mode::by_plan;
    admission_fleet fleet(load);
    for (int second = 0; second < 5; ++second)
    {
        fleet.apply_plan(0, 0, 500ms);
        fleet.now += 1s;
        // More than the upstreams take, so that rank 1 is refused as well.
        for (int each = 0; each < 60; ++each)
        {
            fleet.arrive(0, 1);
        }
    }
    fleet.ends.clear();
    for (int each = 0; each < 60; ++each)
    {
        fleet.arrive(0, 2);
    }
    cr_assert_not(fleet.ends.empty());
    request_ended const& refused = fleet.ends.back();
    cr_expect_eq(refused.outcome, request_outcome::not_run);
    cr_assert(refused.admission.has_value());
    cr_expect_eq(refused.admission->rank, 2U);
    cr_expect_lt(refused.admission->wait_tolerance, 1);
    cr_assert(refused.admission->basis.share.has_value());
    cr_expect_eq(*refused.admission->basis.share, 0);
    cr_expect_eq(*refused.admission->basis.plan_age, 1500ms);
    cr_expect_eq(refused.admission->source.text(), "control-1");
    rank_counters const& counted =
        fleet.host(0).counters().ranks.at(service_id("read")).at(2);
    cr_expect_eq(counted.offered, 60U);
    cr_expect_eq(counted.refused, fleet.ends.size());
}

Test(admission, customers_priority_replaces_that_of_the_route)
{
    fleet_load load;
    load.hosts = 1;
    load.mode = config::admission_mode::by_plan;
    admission_fleet fleet(load);
    fleet.arrive(0, 0, "bulk-key");
    fleet.arrive(0, 1, "usual-key");
    std::vector<policy::admission_demand> const demands =
        fleet.host(0).admission_demands();
    cr_assert_eq(demands.size(), 1U);
    cr_expect_eq(demands[0].service.text(), "read");
    cr_assert_eq(demands[0].ranks.size(), 2U);
    cr_expect_eq(demands[0].ranks[0].rank, 1U);
    cr_expect_eq(demands[0].ranks[1].rank, 2U);
    cr_expect_eq(demands[0].customers.size(), 2U);
}

// Guards against plans and reports that have an effect where they are not
// enabled.
Test(admission, plans_have_no_effect_unless_admission_is_by_plan)
{
    fleet_load load;
    load.hosts = 1;
    for (config::admission_mode const mode :
         {config::admission_mode::none, config::admission_mode::by_rank})
    {
        load.mode = mode;
        admission_fleet fleet(load);
        for (int second = 0; second < 5; ++second)
        {
            fleet.apply_plan(0, 0, 0ms);
            fleet.now += 1s;
        }
        for (int each = 0; each < 60; ++each)
        {
            fleet.arrive(0, 2);
        }
        cr_expect(fleet.host(0).admission_demands().empty());
        for (request_ended const& each : fleet.ends)
        {
            cr_expect(!each.admission.has_value() ||
                      !each.admission->basis.share.has_value());
        }
    }
}
