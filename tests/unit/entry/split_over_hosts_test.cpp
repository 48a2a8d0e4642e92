#include "tests/unit/entry/entry_fleet.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <criterion/criterion.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// Largest permitted difference between a target's share and its weight.
constexpr double weight_tolerance = 0.1;

/// Entry hosts that serve a route split between the services "first" and
/// "second".
class split_fleet
{
public:
    split_fleet(std::size_t hosts, std::uint32_t first_weight,
                std::uint32_t second_weight, std::uint64_t incarnation)
        : fleet(hosts,
                make_one_route({{service_id("first"), first_weight},
                                {service_id("second"), second_weight}}),
                std::make_shared<listed_upstreams>(
                    listed_upstreams{make_listed("first", "first", 100),
                                     make_listed("second", "second", 100)}),
                incarnation),
          weight(static_cast<double>(first_weight) /
                 (first_weight + second_weight))
    {
    }

    /// Restarts every process.
    void start_all(std::uint64_t incarnation)
    {
        this->fleet.start_all(incarnation);
    }

    /// Brings other weights into force at each host.
    void set_weights(std::uint32_t first_weight, std::uint32_t second_weight)
    {
        this->weight =
            static_cast<double>(first_weight) / (first_weight + second_weight);
        std::shared_ptr<config::configuration const> const changed =
            make_one_route({{service_id("first"), first_weight},
                            {service_id("second"), second_weight}});
        ++this->revision;
        for (std::size_t host = 0; host < this->fleet.size(); ++host)
        {
            this->fleet.reconfigure(host, this->revision, changed);
        }
    }

    /// Sends `count` requests to hosts of which some get up to six times as
    /// many as others.
    void request_unevenly(int count)
    {
        for (int request = 0; request < count; ++request)
        {
            double const place = this->random.unit();
            this->request(static_cast<std::size_t>(
                place * (0.3 + 0.7 * place) *
                static_cast<double>(this->fleet.size())));
        }
    }

    /// Counts only requests that are sent from now on.
    void restart_count()
    {
        this->sent = 0;
        this->first = 0;
    }

    /// Sends `count` requests to each host.
    void request_each(int count)
    {
        for (std::size_t host = 0; host < this->fleet.size(); ++host)
        {
            for (int request = 0; request < count; ++request)
            {
                this->request(host);
            }
        }
    }

    /// Difference between the share of the first target and its weight.
    double deviation() const
    {
        return std::abs(static_cast<double>(this->first) /
                            static_cast<double>(this->sent) -
                        this->weight);
    }

private:
    void request(std::size_t host)
    {
        this->first += this->fleet.sent_to(host) == "first" ? 1U : 0U;
        ++this->sent;
    }

    entry_fleet fleet;
    policy::generator random{7};
    bilberrylead::revision revision = 1;
    double weight;
    std::uint64_t sent = 0;
    std::uint64_t first = 0;
};

struct traffic
{
    std::size_t hosts = 0;
    int requests_each = 0;
};

/// 300 to 960 requests in total, a few for each host.
constexpr traffic traffic_patterns[] = {{80, 12}, {300, 3}, {300, 1}};

constexpr std::uint32_t full_weight = 100;
constexpr std::uint32_t first_weights[] = {1, 10, 25, 50, 75, 99};

/// Calls `check` for every combination of traffic, weight and start time.
template <class Check>
void for_all_fleets(Check const& check)
{
    constexpr std::uint64_t first_start = 1'770'000'000'000;
    for (traffic const& each : traffic_patterns)
    {
        for (std::uint32_t const weight : first_weights)
        {
            for (std::uint64_t start = 0; start < 10; ++start)
            {
                split_fleet fleet(each.hosts, weight, full_weight - weight,
                                  first_start + start);
                check(fleet, each, weight, first_start + start);
            }
        }
    }
}

} // namespace

// Guards against hosts that draw the same targets of a split route: a few
// requests at each of many hosts would then repeat the first draws of one host.
Test(split_over_hosts, few_requests_at_each_host_keep_the_weights)
{
    for_all_fleets(
        [](split_fleet& fleet, traffic const& each, std::uint32_t weight,
           std::uint64_t)
        {
            fleet.request_each(each.requests_each);
            cr_expect_leq(fleet.deviation(), weight_tolerance,
                          "%zu hosts, %d each, weight %u: off by %.3f",
                          each.hosts, each.requests_each, weight,
                          fleet.deviation());
        });
}

// Guards against hosts that repeat after a restart the draws of the previous
// incarnation.
Test(split_over_hosts, restarts_of_all_hosts_keep_the_weights)
{
    for_all_fleets(
        [](split_fleet& fleet, traffic const& each, std::uint32_t weight,
           std::uint64_t start)
        {
            constexpr std::uint64_t restarts = 8;
            for (std::uint64_t restart = 1; restart <= restarts; ++restart)
            {
                fleet.request_each(1);
                fleet.start_all(start + restart * 1000);
            }
            cr_expect_leq(fleet.deviation(), weight_tolerance,
                          "%zu hosts, weight %u: off by %.3f", each.hosts,
                          weight, fleet.deviation());
        });
}

// Guards against weights that are not kept in the first seconds after a change
// that splits a route or changes its split, while each host has drawn a few
// times only.
Test(split_over_hosts, changed_weights_are_kept_from_the_first_seconds_on)
{
    constexpr std::size_t hosts = 71;
    constexpr int requests_until_in_force = 200;
    constexpr int requests_counted = 620;
    for (std::uint64_t start = 0; start < 10; ++start)
    {
        split_fleet fleet(hosts, full_weight, 0, start);
        for (std::uint32_t const weight : {50U, 25U, 75U, 50U})
        {
            fleet.set_weights(weight, full_weight - weight);
            fleet.request_unevenly(requests_until_in_force);
            fleet.restart_count();
            fleet.request_unevenly(requests_counted);
            cr_expect_leq(fleet.deviation(), weight_tolerance,
                          "start %u, weight %u: off by %.3f",
                          static_cast<unsigned>(start), weight,
                          fleet.deviation());
        }
    }
}

// Guards against a split whose shares can be judged from sampled lines only.
Test(split_over_hosts, requests_are_counted_by_the_target_that_was_drawn)
{
    entry_fleet fleet(
        1,
        make_one_route({{service_id("first"), 1}, {service_id("second"), 1}}),
        std::make_shared<listed_upstreams>(
            listed_upstreams{make_listed("first", "first", 100)}),
        1);
    constexpr std::uint64_t requests = 100;
    std::uint64_t sent_to_first = 0;
    for (std::uint64_t request = 0; request < requests; ++request)
    {
        sent_to_first += fleet.sent_to(0) == "first" ? 1U : 0U;
    }
    std::map<split_part, split_part_counters> const parts =
        fleet.counters(0).split_parts;
    cr_expect_eq(parts.at({"a.example/", service_id("first")}).answered,
                 sent_to_first);
    cr_expect_eq(parts.at({"a.example/", service_id("second")}).not_run,
                 requests - sent_to_first);
    fleet.reconfigure(0, 2, make_one_route({{service_id("first"), 1}}));
    cr_expect_not(fleet.counters(0).split_parts.contains(
        {"a.example/", service_id("second")}));
}
