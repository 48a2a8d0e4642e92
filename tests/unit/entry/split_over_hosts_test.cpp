#include "tests/unit/entry/entry_fleet.hpp"

#include <criterion/criterion.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
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

    /// Sends `count` requests to each host.
    void request_each(int count)
    {
        for (std::size_t host = 0; host < this->fleet.size(); ++host)
        {
            for (int request = 0; request < count; ++request)
            {
                this->first += this->fleet.sent_to(host) == "first" ? 1U : 0U;
                ++this->sent;
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
    entry_fleet fleet;
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
