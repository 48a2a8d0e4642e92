#include "tests/unit/entry/crash_fleet.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <cstdint>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// By then all entry hosts have to know what crashes upstreams.
constexpr duration contact_time = 4s;
/// Runs that are allowed later than that after the third crash.
constexpr std::size_t late_runs = 3;

/// Repeats of a request that crashes its upstreams come to one entry host
/// after the other, each so much later than the one before; beside them
/// every host gets requests of its own.
void repeat_crashing(crash_fleet& fleet, duration pause, duration time)
{
    std::uint64_t next_digest = 1;
    std::size_t host = 0;
    for (duration passed{}; passed < time; passed += pause)
    {
        fleet.arrive(host % fleet.hosts(), crash_fleet::crashing);
        for (std::size_t other = 0; other < 4; ++other)
        {
            next_digest += 2;
            fleet.arrive((host + other) % fleet.hosts(),
                         (next_digest << 32U) | 1U);
        }
        ++host;
        fleet.run_for(pause);
    }
}

void expect_budget_kept(crash_fleet const& fleet, char const* what)
{
    std::size_t const late =
        fleet.third_crash() == instant::max()
            ? 0
            : fleet.runs_of(crash_fleet::crashing,
                            fleet.third_crash() + contact_time);
    cr_expect_leq(late, late_runs,
                  "%s, %zu hosts: %zu late runs, %zu upstreams ended", what,
                  fleet.hosts(), late, fleet.ended());
}

constexpr std::size_t fleet_sizes[] = {2, 10, 80, 300};

} // namespace

// Guards against a request that ends one upstream after the other, since no
// entry host knows what it did at the others.
Test(crashing_request, repeats_at_all_hosts_stop_after_the_third_crash)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        crash_fleet fleet({.hosts = hosts});
        repeat_crashing(fleet, 200ms, 20s);
        expect_budget_kept(fleet, "prompt news");
    }
}
