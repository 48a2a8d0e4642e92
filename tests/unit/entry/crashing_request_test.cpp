#include "tests/unit/entry/upstream_fleet.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <cstdint>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// Time within which all entry hosts must have received a crash record.
constexpr duration propagation_time = 4s;
/// Runs that are permitted after the third crash plus `propagation_time`.
constexpr std::size_t max_late_runs = 3;

/// Digest of a request that arrives once and crashes no upstream.
std::uint64_t harmless_digest(std::uint64_t number)
{
    return (number << 32U) | 1U;
}

/// Sends repeats of the crashing request to one entry host after the other, at
/// intervals of `pause`, concurrently with other requests to several hosts.
void repeat_crashing_request(upstream_fleet& fleet, duration pause,
                             duration time)
{
    std::uint64_t next_digest = 1;
    std::size_t host = 0;
    for (duration passed{}; passed < time; passed += pause)
    {
        fleet.arrive(host % fleet.hosts(), upstream_fleet::crashing_digest);
        for (std::size_t other = 0; other < 4; ++other)
        {
            next_digest += 2;
            fleet.arrive((host + other) % fleet.hosts(),
                         harmless_digest(next_digest));
        }
        ++host;
        fleet.run_for(pause);
    }
}

void expect_budget_kept(upstream_fleet const& fleet, char const* scenario)
{
    std::size_t const late =
        fleet.third_crash() == instant::max()
            ? 0
            : fleet.runs_of(upstream_fleet::crashing_digest,
                            fleet.third_crash() + propagation_time);
    cr_expect_leq(late, max_late_runs,
                  "%s, %zu hosts: %zu late runs, %zu upstreams ended", scenario,
                  fleet.hosts(), late, fleet.ended_upstreams());
}

constexpr std::size_t fleet_sizes[] = {2, 10, 80, 300};

} // namespace

// Guards against a request that ends one upstream after the other because no
// entry host knows of the crashes seen by the others.
Test(crashing_request, repeats_at_all_hosts_stop_after_the_third_crash)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        upstream_fleet fleet({.hosts = hosts});
        repeat_crashing_request(fleet, 200ms, 20s);
        expect_budget_kept(fleet, "prompt records");
    }
}

// Guards against a request that is allowed again once the upstreams that it
// ended are back under their ids and answer other requests.
Test(crashing_request, stays_refused_when_upstreams_are_back_under_their_ids)
{
    for (std::size_t const upstreams : {2, 4, 18})
    {
        for (std::size_t const hosts : fleet_sizes)
        {
            upstream_fleet fleet(
                {.hosts = hosts, .upstreams = upstreams, .keeps_ids = true});
            repeat_crashing_request(fleet, 200ms, 40s);
            cr_expect_geq(fleet.ended_upstreams(), 3U);
            expect_budget_kept(fleet, "same ids");
        }
    }
}

// Guards against a crash that is not counted because the listener of the ended
// upstream accepts the probe.
Test(crashing_request, listener_that_outlives_its_process_hides_no_crash)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        upstream_fleet fleet({.hosts = hosts, .listener_lag = 40ms});
        repeat_crashing_request(fleet, 200ms, 20s);
        expect_budget_kept(fleet, "listener lag");
        cr_expect_leq(fleet.ended_upstreams(), 6U, "%zu hosts: %zu ended",
                      hosts, fleet.ended_upstreams());
    }
}

// Guards against further tries of a request before it is known whether the
// upstreams of its earlier ones ended.
Test(crashing_request, unresolved_losses_count_for_further_tries)
{
    upstream_fleet fleet({.hosts = 2, .listener_lag = 2s, .attempts = 4});
    fleet.arrive(0, upstream_fleet::crashing_digest);
    fleet.run_for(2s);
    cr_expect_eq(fleet.runs_of(upstream_fleet::crashing_digest), 2U, "%zu runs",
                 fleet.runs_of(upstream_fleet::crashing_digest));
}

// Guards against repeats that run until delayed records arrive: they may run
// late, but not later than the propagation time permits.
Test(crashing_request, repeats_stop_when_records_arrive_3_s_late)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        upstream_fleet fleet({.hosts = hosts, .peer_delay = 3s});
        repeat_crashing_request(fleet, 200ms, 20s);
        expect_budget_kept(fleet, "late records");
    }
}

// Guards against repeats that end upstreams again in waves once those have
// restarted.
Test(crashing_request, repeats_with_prompt_records_end_few_upstreams)
{
    constexpr std::size_t max_ended = 6;
    for (std::size_t const hosts : fleet_sizes)
    {
        upstream_fleet fleet({.hosts = hosts});
        repeat_crashing_request(fleet, 200ms, 40s);
        cr_expect_leq(fleet.ended_upstreams(), max_ended,
                      "%zu hosts: %zu ended", hosts, fleet.ended_upstreams());
    }
}

// Guards against entry hosts that start without the crash records.
Test(crashing_request, restarted_hosts_receive_crash_records)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        upstream_fleet fleet({.hosts = hosts});
        repeat_crashing_request(fleet, 200ms, 8s);
        // The first host keeps running, the others restart together.
        for (std::size_t host = 1; host < hosts; ++host)
        {
            fleet.start_host(host);
        }
        repeat_crashing_request(fleet, 200ms, 8s);
        expect_budget_kept(fleet, "restart");
    }
}

// Guards against a host that was partitioned and does not receive the records
// of the others afterwards.
Test(crashing_request, reconnected_host_receives_crash_records)
{
    upstream_fleet fleet({.hosts = 10});
    fleet.set_partitioned(9, true);
    repeat_crashing_request(fleet, 200ms, 8s);
    fleet.set_partitioned(9, false);
    fleet.run_for(propagation_time);
    std::size_t const before = fleet.ended_upstreams();
    repeat_crashing_request(fleet, 200ms, 10s);
    cr_expect_eq(fleet.ended_upstreams(), before);
}

// Guards against refusing harmless requests because a whole zone ended while it
// ran them.
Test(crashing_request, harmless_requests_of_an_ended_zone_are_not_refused)
{
    constexpr std::uint64_t requests = 40;
    for (std::size_t const hosts : fleet_sizes)
    {
        upstream_fleet fleet({.hosts = hosts});
        for (std::uint64_t number = 1; number <= requests; ++number)
        {
            fleet.arrive(number % hosts, harmless_digest(number));
        }
        fleet.run_for(20ms);
        for (std::size_t slot = 0; slot < 6; ++slot)
        {
            fleet.end_upstream(slot);
        }
        fleet.run_for(3s);
        for (std::uint64_t number = 1; number <= requests; ++number)
        {
            fleet.arrive(number % hosts, harmless_digest(number));
        }
        fleet.run_for(3s);
        for (std::uint64_t number = 1; number <= requests; ++number)
        {
            cr_expect_eq(fleet.refused_for_crashes(harmless_digest(number)),
                         0U);
            cr_expect_geq(fleet.answered(harmless_digest(number)), 1U);
        }
    }
}

// Guards against refusing a popular request because upstreams end while they
// run it: it is nearly always running somewhere.
Test(crashing_request, popular_request_during_many_crashes_is_not_refused)
{
    constexpr std::uint64_t popular_digest = 3;
    upstream_fleet fleet({.hosts = 10});
    for (std::size_t step = 0; step < 200; ++step)
    {
        fleet.arrive(step % fleet.hosts(), popular_digest);
        fleet.arrive((step + 3) % fleet.hosts(), popular_digest);
        if (step % 10 == 9)
        {
            fleet.end_upstream(step / 10 % 18);
        }
        fleet.run_for(50ms);
    }
    cr_expect_gt(fleet.answered(popular_digest), 300U);
    cr_expect_eq(fleet.refused_for_crashes(popular_digest), 0U);
}

// Guards against connection resets that are counted as crashes.
Test(crashing_request, request_whose_connections_are_reset_is_not_refused)
{
    constexpr std::uint64_t reset_digest = 3;
    upstream_fleet fleet({.hosts = 10});
    for (std::size_t step = 0; step < 50; ++step)
    {
        fleet.arrive(step % fleet.hosts(), reset_digest);
        fleet.run_for(50ms);
        for (std::size_t slot = 0; slot < 18; ++slot)
        {
            fleet.reset_upstream(slot);
        }
        fleet.run_for(150ms);
    }
    cr_expect_eq(fleet.refused_for_crashes(reset_digest), 0U);
}
