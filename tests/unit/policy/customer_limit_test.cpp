#include "tests/unit/policy/customer_fleet.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace bilberrylead;
using namespace bilberrylead::policy;

namespace
{

constexpr duration window = 5s;

/// Requests in a window that the rule of the service allows: a tenth more than
/// the limit, and 20.
double allowed_in_window(double rate, double burst)
{
    return (rate * 5 + burst) * 1.1 + 20;
}

void expect_within(customer_fleet const& fleet, double rate, double burst)
{
    double const most = static_cast<double>(fleet.max_accepted_in(window));
    cr_expect_leq(most, allowed_in_window(rate, burst),
                  "%.0f requests in a window, %.1f are allowed", most,
                  allowed_in_window(rate, burst));
}

constexpr std::array<std::size_t, 5> fleet_sizes = {2, 10, 73, 150, 300};

} // namespace

// Guards against refusals of customers that stay within their limit while their
// callers move between hundreds of hosts.
Test(customer_limit, customer_within_its_limit_loses_less_than_one_in_200)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            customer_fleet_settings settings;
            settings.hosts = hosts;
            settings.seed = seed;
            customer_fleet fleet(settings);
            fleet.run_for(60s);
            cr_expect_leq(fleet.refused_share(), 0.005,
                          "%zu hosts, seed %lu: %.4f refused", hosts,
                          static_cast<unsigned long>(seed),
                          fleet.refused_share());
            expect_within(fleet, 20, 20);
        }
    }
}

// Guards against an overrun by a customer that sends far more than its limit
// through many hosts at once, with messages lost, doubled and reordered.
Test(customer_limit, customer_that_presses_stays_within_the_bound)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            customer_fleet_settings settings;
            settings.hosts = hosts;
            settings.seed = seed;
            settings.demand = 200;
            settings.callers = 40;
            settings.stay = 500ms;
            settings.max_delay = 200ms;
            settings.lost = 0.1;
            settings.doubled = 0.1;
            customer_fleet fleet(settings);
            fleet.run_for(40s);
            expect_within(fleet, 20, 20);
        }
    }
}

// Guards against a division that starves a customer at its limit: callers that
// stay for two seconds on a host get at least half of what is allowed.
Test(customer_limit, customer_that_presses_still_uses_its_limit)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        customer_fleet_settings settings;
        settings.hosts = hosts;
        settings.demand = 100;
        settings.callers = 40;
        customer_fleet fleet(settings);
        fleet.run_for(40s);
        cr_expect_geq(fleet.accepted(), std::size_t{400}, "%zu hosts: %zu",
                      hosts, fleet.accepted());
    }
}

// Guards against a division that nobody enforces: the check above has to fail
// without it.
Test(customer_limit, without_division_the_bound_is_broken)
{
    customer_fleet_settings settings;
    settings.how = division::none;
    settings.demand = 200;
    settings.callers = 40;
    customer_fleet fleet(settings);
    fleet.run_for(20s);
    cr_expect_gt(static_cast<double>(fleet.max_accepted_in(window)),
                 allowed_in_window(20, 20));
}

// Guards against hosts that continue by themselves behind a partition and
// exceed the limit together with those on the other side.
Test(customer_limit, hosts_that_are_cut_off_stay_within_the_bound)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        customer_fleet_settings settings;
        settings.seed = seed;
        settings.demand = 100;
        settings.callers = 40;
        customer_fleet fleet(settings);
        fleet.run_for(10s);
        for (std::size_t host = 0; host < settings.hosts; host += 3)
        {
            fleet.cut_off(host, true);
        }
        fleet.run_for(30s);
        for (std::size_t host = 0; host < settings.hosts; host += 3)
        {
            fleet.cut_off(host, false);
        }
        fleet.run_for(20s);
        expect_within(fleet, 20, 20);
    }
}

// Guards against a cut that refuses customers within their limit although they
// were served by the same hosts before.
Test(customer_limit, hosts_that_are_cut_off_continue_to_serve_their_callers)
{
    customer_fleet_settings settings;
    settings.stay = 1h;
    customer_fleet fleet(settings);
    fleet.run_for(10s);
    for (std::size_t host = 0; host < settings.hosts; ++host)
    {
        fleet.cut_off(host, true);
    }
    fleet.forget_counts();
    fleet.run_for(12s);
    cr_expect_leq(fleet.refused_share(), 0.1, "%.4f refused",
                  fleet.refused_share());
}

// Guards against a new leader that gives away shares which hosts that it does
// not hear still hold.
Test(customer_limit, replaced_leader_with_hosts_cut_off_keeps_the_bound)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        customer_fleet_settings settings;
        settings.seed = seed;
        settings.demand = 100;
        settings.callers = 40;
        customer_fleet fleet(settings);
        fleet.run_for(10s);
        for (std::size_t host = 0; host < settings.hosts; host += 3)
        {
            fleet.cut_off(host, true);
        }
        fleet.replace_leader(1500ms);
        fleet.run_for(30s);
        expect_within(fleet, 20, 20);
    }
}

// Guards against restarts that hand a host a fresh burst.
Test(customer_limit, restarts_of_all_hosts_keep_the_bound)
{
    customer_fleet_settings settings;
    settings.demand = 100;
    settings.callers = 40;
    customer_fleet fleet(settings);
    fleet.run_for(10s);
    for (std::size_t host = 0; host < settings.hosts; ++host)
    {
        fleet.start_host(host);
        fleet.run_for(200ms);
    }
    fleet.run_for(5s);
    expect_within(fleet, 20, 20);
}

// Guards against a limit that was lowered far below what is sent and is still
// exceeded one window later.
Test(customer_limit, lowered_limit_binds_after_one_window)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        customer_fleet_settings settings;
        settings.hosts = hosts;
        settings.rate = 200;
        settings.burst = 200;
        settings.demand = 150;
        settings.callers = 40;
        customer_fleet fleet(settings);
        fleet.run_for(20s);
        fleet.set_limit(10, 10);
        fleet.run_for(2500ms);
        fleet.forget_counts();
        fleet.run_for(20s);
        expect_within(fleet, 10, 10);
    }
}

// Guards against a process that continues to use a share after it was allocated
// to others: an allocation that was held up by a partition arrives late.
Test(customer_limit, allocation_that_arrives_late_has_expired)
{
    instant now = instant{} + 1h;
    customer_id const customer("c");
    customer_limits limits(host_id("e1"));
    limits.begin_configuration(1);
    limits.set_limit(customer, 100'000, 1000, now);
    limits.end_configuration();
    std::optional<customer_report> const report = limits.pop_report(now);
    cr_assert(report.has_value());
    now += customer_limit_settings{}.lease_time;
    limits.apply({report->number, 2, {{customer, 500'000, 2}}}, now);
    cr_expect_eq(limits.share(customer, now), 0);
    now += 20ms;
    cr_expect_not(limits.accept(customer, now));
}

// Guards against refusals that count: what was not run is given back.
Test(customer_limit, request_that_was_not_run_does_not_count)
{
    instant now = instant{} + 1h;
    customer_id const customer("c");
    customer_limits limits(host_id("e1"));
    limits.begin_configuration(1);
    limits.set_limit(customer, 1000, 1, now);
    limits.end_configuration();
    std::optional<customer_report> const report = limits.pop_report(now);
    limits.apply({report->number, 0, {{customer, 1'000'000, 0}}}, now);
    now += 1s;
    cr_assert(limits.accept(customer, now));
    cr_expect_not(limits.accept(customer, now));
    limits.give_back(customer, now);
    cr_expect(limits.accept(customer, now));
}

// Guards against hosts that restart all at once, or behind a partition, and
// each accept what only all of them together may.
Test(customer_limit, hosts_without_allocation_stay_within_the_overshoot)
{
    for (std::uint64_t const rate : {2, 20, 200})
    {
        for (std::size_t const hosts : fleet_sizes)
        {
            instant now = instant{} + 1h;
            customer_id const customer("c");
            std::size_t accepted = 0;
            for (std::size_t host = 0; host < hosts; ++host)
            {
                customer_limits limits(host_id(fmt::format("e{}", host)));
                limits.begin_configuration(1);
                limits.set_limit(customer, rate * 1000, rate, now);
                limits.end_configuration();
                limits.set_hosts(hosts, now);
                for (duration passed{}; passed < window; passed += 100ms)
                {
                    accepted += limits.accept(customer, now + passed) ? 1U : 0U;
                }
            }
            double const overshoot =
                allowed_in_window(static_cast<double>(rate),
                                  static_cast<double>(rate)) -
                static_cast<double>(rate * 6);
            cr_expect_leq(static_cast<double>(accepted), overshoot,
                          "%zu hosts, %lu a second: %zu", hosts,
                          static_cast<unsigned long>(rate), accepted);
        }
    }
}

// Guards against a reserve that is divided by a number of hosts that nobody
// knows.
Test(customer_limit, without_the_number_of_hosts_there_is_no_reserve)
{
    instant const now = instant{} + 1h;
    customer_id const customer("c");
    customer_limits limits(host_id("e1"));
    limits.begin_configuration(1);
    limits.set_limit(customer, 200'000, 200, now);
    limits.end_configuration();
    cr_expect_not(limits.accept(customer, now));
}

// Guards against a setting that makes the reserve no number.
Test(customer_limit, without_a_window_there_is_no_reserve)
{
    instant const now = instant{} + 1h;
    customer_id const customer("c");
    customer_limit_settings settings;
    settings.bounds.window = duration::zero();
    customer_limits limits(host_id("e1"), settings);
    limits.begin_configuration(1);
    limits.set_limit(customer, 200'000, 200, now);
    limits.end_configuration();
    limits.set_hosts(1, now);
    cr_expect_not(limits.accept(customer, now));
    cr_expect_not(limits.accept(customer, now + 1s));
}
