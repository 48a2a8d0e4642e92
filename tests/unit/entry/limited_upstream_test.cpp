#include "tests/unit/entry/upstream_fleet.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <cstdint>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// The rule counts requests within this span, from so long after the limit
/// was first named.
constexpr duration contact_time = 4s;
constexpr std::size_t fleet_sizes[] = {2, 10, 80, 300};
constexpr double limits[] = {0.5, 1.7, 2.7, 10};

/// What the rule allows within contact_time.
double allowed(double limit)
{
    return 1.5 * limit * 4 + 5;
}

/// Requests come to hosts drawn by lot, so many a second over all of them.
void send_requests(upstream_fleet& fleet, double per_second, duration time)
{
    policy::generator random(7);
    std::uint64_t number = 1;
    constexpr duration step = 10ms;
    for (duration passed{}; passed < time; passed += step)
    {
        if (random.unit() < per_second * 0.01)
        {
            fleet.arrive(random.below(fleet.hosts()), 2 * ++number + 1);
        }
        fleet.run_for(step);
    }
}

} // namespace

// Guards against hosts that each keep an upstream's limit, or none of them,
// while the sum over all hosts is over it.
Test(limited_upstream, hosts_together_keep_the_limit)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        for (double const limit : limits)
        {
            upstream_fleet fleet(
                {.hosts = hosts, .upstreams = 3, .limit = limit});
            send_requests(fleet, 40, 25s);
            cr_assert(fleet.first_named().has_value());
            std::size_t const most = fleet.most_limited_within(
                contact_time, *fleet.first_named() + contact_time);
            cr_expect_leq(static_cast<double>(most), allowed(limit),
                          "%zu hosts, limit %.1f: %zu in 4 s", hosts, limit,
                          most);
        }
    }
}
