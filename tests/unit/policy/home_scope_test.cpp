#include "bilberrylead/policy/home_scope.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using config::object_homes;
using policy::generator;
using policy::home_scope;

namespace
{

instant const start = instant{} + 1h;

/// One entry host that is asked for objects drawn at random.
struct asked_host
{
    explicit asked_host(std::uint32_t remembered, std::uint64_t seed = 1)
        : scope(remembered), random(seed)
    {
    }

    /// Plays requests for `objects` objects at that rate; counts the changes of
    /// the scope.
    void run(duration time, double per_second, std::uint32_t objects,
             std::size_t zone_upstreams, std::size_t region_upstreams)
    {
        instant const end = this->now + time;
        duration const pause(static_cast<std::int64_t>(1e9 / per_second));
        while (this->now < end)
        {
            this->now += pause;
            this->scope.record(1 + this->random.below(objects), this->now);
            this->changes +=
                this->scope.update(zone_upstreams, region_upstreams, this->now)
                    ? 1
                    : 0;
        }
    }

    home_scope scope;
    generator random;
    instant now = start;
    int changes = 0;
};

} // namespace

// The services of the deployment: a zone's caches hold all objects or not.
// Guards against a zone that is too small keeping its own homes: its objects
// would evict each other, and every run would be a cold one.
Test(home_scope, zone_whose_caches_hold_all_objects_has_its_own_homes)
{
    struct row
    {
        std::size_t upstreams;
        std::uint32_t remembered;
        std::uint32_t objects;
        double per_second;
        object_homes scope;
    };
    for (row const& each : {row{42, 19, 260, 15, object_homes::zone},
                            row{9, 19, 260, 15, object_homes::region},
                            row{35, 19, 260, 15, object_homes::zone},
                            row{19, 14, 91, 5, object_homes::zone},
                            row{4, 14, 91, 5, object_homes::region},
                            row{16, 14, 91, 5, object_homes::zone},
                            row{4, 48, 69, 4, object_homes::zone},
                            row{1, 48, 69, 4, object_homes::region},
                            row{2, 48, 69, 4, object_homes::zone}})
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            asked_host host(each.remembered, seed);
            host.run(5min, each.per_second, each.objects, each.upstreams,
                     2 * each.upstreams);
            cr_expect(host.scope.current() == each.scope,
                      "%zu upstreams, %u objects, seed %lu, %.0f estimated",
                      each.upstreams, each.objects, seed,
                      host.scope.distinct_objects(host.now));
            cr_expect_leq(host.changes, 1);
        }
    }
}

// A host sees one request in eighty of its service, another one in ten. Guards
// against a count of the objects that were seen, by which hosts that see few
// requests would underestimate and choose another scope.
Test(home_scope, estimate_depends_little_on_the_number_of_requests)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        for (double const per_second : {4.0, 15.0, 150.0})
        {
            asked_host host(19, seed);
            host.run(90s, per_second, 260, 42, 84);
            double const found = host.scope.distinct_objects(host.now);
            cr_expect_gt(found, 170, "%.0f at %.0f/s", found, per_second);
            cr_expect_lt(found, 390, "%.0f at %.0f/s", found, per_second);
        }
    }
}

// Ten thousand objects: the memory is fixed, and the estimate comes from a
// sample. All hosts sample the same objects.
Test(home_scope, estimate_of_many_objects_comes_from_a_bounded_sample)
{
    static_assert(sizeof(home_scope) < 20'000);
    asked_host host(19);
    host.run(90s, 1000, 10'000, 42, 84);
    double const found = host.scope.distinct_objects(host.now);
    cr_expect_gt(found, 7'500, "%.0f", found);
    cr_expect_lt(found, 12'500, "%.0f", found);
    cr_expect(host.scope.current() == object_homes::region);
}

// A host that knows nothing keeps the homes of the region, which are homes of a
// zone as well, and changes once, when it has received about a hundred
// requests. Guards against responses that cross zones until then.
Test(home_scope, started_host_decides_within_seconds_and_once)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        asked_host host(19, seed);
        cr_expect(host.scope.current() == object_homes::region);
        host.run(15s, 15, 260, 42, 84);
        cr_expect(host.scope.current() == object_homes::zone, "seed %lu", seed);
        host.run(5min, 15, 260, 42, 84);
        cr_expect_eq(host.changes, 1, "seed %lu: %d", seed, host.changes);
    }
}

// Some objects are requested far more often than others, so that few requests
// show only few objects. Guards against hosts of a zone that is too small that
// begin with homes in the zone.
Test(home_scope, few_requests_for_popular_objects_do_not_choose_the_zone)
{
    constexpr std::uint32_t objects = 260;
    std::vector<double> popularity;
    double sum = 0;
    for (std::uint32_t object = 0; object < objects; ++object)
    {
        sum += 1 / std::sqrt(object + 1.0);
        popularity.push_back(sum);
    }
    int began_in_zone = 0;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed)
    {
        asked_host host(19, seed);
        for (int request = 0; request < 300; ++request)
        {
            host.now += 66ms;
            std::uint64_t const object = static_cast<std::uint64_t>(
                std::upper_bound(popularity.begin(), popularity.end(),
                                 host.random.unit() * sum) -
                popularity.begin());
            host.scope.record(generator(object ^ (seed << 32U)).next(),
                              host.now);
            host.changes += host.scope.update(9, 18, host.now) ? 1 : 0;
        }
        began_in_zone += host.changes > 0 ? 1 : 0;
    }
    cr_expect_eq(began_in_zone, 0, "%d of 1000", began_in_zone);
}

// Hosts of one zone start at different times with a number of objects between
// the two bounds that change the scope at once. Guards against hosts that keep
// different scopes for ever because each has another history.
Test(home_scope, hosts_with_different_histories_agree)
{
    for (std::uint32_t const objects : {140U, 165U})
    {
        asked_host many_before(19, 1);
        many_before.run(3min, 40, 400, 10, 20);
        asked_host few_before(19, 2);
        few_before.run(3min, 40, 40, 10, 20);
        cr_expect(many_before.scope.current() == object_homes::region);
        cr_expect(few_before.scope.current() == object_homes::zone);
        many_before.run(8min, 40, objects, 10, 20);
        few_before.run(8min, 40, objects, 10, 20);
        cr_expect(many_before.scope.current() == few_before.scope.current(),
                  "%u objects", objects);
        cr_expect_leq(many_before.changes, 2);
        cr_expect_leq(few_before.changes, 2);
    }
}

// The number of objects is near the bound for an hour. Each change costs a
// burst of cold runs.
Test(home_scope, number_of_objects_near_the_bound_causes_few_changes)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        asked_host host(19, seed);
        host.run(1h, 15, 171, 10, 20);
        cr_expect_leq(host.changes, 6, "%d", host.changes);
    }
}

// The zone loses all of its upstreams: the homes of the region apply at once,
// and those of the zone again some time after the upstreams are back.
Test(home_scope, zone_without_upstreams_uses_the_region_at_once)
{
    asked_host host(19);
    host.run(60s, 15, 260, 42, 84);
    cr_assert(host.scope.current() == object_homes::zone);
    cr_expect(host.scope.update(0, 42, host.now + 1ms));
    cr_expect(host.scope.current() == object_homes::region);
    host.now += 1ms;
    host.run(10s, 15, 260, 0, 42);
    host.run(10s, 15, 260, 42, 84);
    cr_expect(host.scope.current() == object_homes::region,
              "a zone that comes and goes moves no objects");
    host.run(60s, 15, 260, 42, 84);
    cr_expect(host.scope.current() == object_homes::zone);
    cr_expect_eq(host.changes, 2);
}

// Callers ask for twice as many objects, more than the zone's caches hold.
Test(home_scope, doubled_objects_move_the_homes_to_the_region)
{
    asked_host host(19);
    host.run(2min, 15, 130, 10, 20);
    cr_assert(host.scope.current() == object_homes::zone);
    host.run(3min, 15, 260, 10, 20);
    cr_expect(host.scope.current() == object_homes::region);
    cr_expect_eq(host.changes, 2);
}

// A service whose requests name no objects fills no cache, so nothing is gained
// by a crossing.
Test(home_scope, requests_without_objects_stay_in_the_zone)
{
    home_scope scope(12);
    instant now = start;
    for (int request = 0; request < 100; ++request)
    {
        now += 100ms;
        scope.record(0, now);
        scope.update(4, 8, now);
    }
    cr_expect(scope.current() == object_homes::zone);
}
