#include "tests/unit/control/listing_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>

using namespace bilberrylead;
using namespace std::chrono_literals;
using tests::listing_fleet;

namespace
{

/// No request reaches an upstream later than this after it was listed as
/// leaving.
constexpr duration bound = 3s;
/// The bound does not apply within this time of a change of leader.
constexpr duration leader_change_time = 4s;
/// Steps that are no multiple of the reading interval, so that an upstream is
/// listed as leaving at any moment of a reading.
constexpr duration phase_step = 90ms;
constexpr std::size_t fleet_sizes[] = {2, 71, 300};
/// Of each zone, an upstream of the first page and one of the last.
constexpr std::size_t first_upstream = 0;
constexpr std::size_t last_upstream = 164;
/// A quarter of the upstreams.
constexpr std::size_t leaving_per_zone = 40;

/// Longest time to the last arrival over upstreams that are listed as leaving
/// at different moments. `prepare` is called as each is listed.
template <class Prepare>
duration longest_time(listing_fleet& fleet, Prepare prepare)
{
    duration longest{};
    for (duration phase{}; phase < 2s; phase += phase_step)
    {
        for (std::size_t const number : {first_upstream, last_upstream})
        {
            fleet.run_for(phase);
            fleet.set_leaving(number % 9, number);
            prepare(fleet);
            fleet.run_for(8s);
            longest = std::max(longest, fleet.time_to_last_arrival());
            fleet.clear_leaving();
        }
    }
    return longest;
}

} // namespace

// Guards against a reading interval and delays that add up to more than the
// bound although each of them is usual.
Test(leaving_upstream_time, longest_usual_delays_stay_within_the_bound)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        listing_fleet fleet({.entry_hosts = hosts});
        duration const longest = longest_time(fleet, [](listing_fleet&) {});
        cr_expect_leq(longest.count(), bound.count(), "%zu hosts: %.3f s",
                      hosts, std::chrono::duration<double>(longest).count());
    }
}

// Guards against a single lost call that delays a whole reading beyond the
// bound.
Test(leaving_upstream_time, one_lost_call_stays_within_the_bound)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        listing_fleet fleet({.entry_hosts = hosts});
        duration const longest =
            longest_time(fleet,
                         [](listing_fleet& listed)
                         {
                             listed.lose_first_sight_of_leaving();
                         });
        cr_expect_leq(longest.count(), bound.count(), "%zu hosts: %.3f s",
                      hosts, std::chrono::duration<double>(longest).count());
    }
}

// Guards against a leader that encodes a listing anew for each of its links and
// reads, sends and answers nothing meanwhile.
Test(leaving_upstream_time, many_at_once_stay_within_the_bound)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        listing_fleet fleet({.entry_hosts = hosts,
                             .encoding_time = tests::usual_encoding_time});
        duration longest{};
        for (duration phase{}; phase < 2s; phase += phase_step)
        {
            fleet.run_for(phase);
            fleet.set_first_leaving(leaving_per_zone);
            fleet.run_for(8s);
            longest = std::max(longest, fleet.time_to_last_arrival());
            fleet.clear_leaving();
        }
        cr_expect_leq(longest.count(), bound.count(), "%zu hosts: %.3f s",
                      hosts, std::chrono::duration<double>(longest).count());
    }
}

// Guards against a new leader that learns too late of an upstream that left
// while there was no leader.
Test(leaving_upstream_time, change_of_leader_stays_within_the_bound)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        for (duration phase{}; phase < 2s; phase += phase_step)
        {
            listing_fleet fleet({.entry_hosts = hosts});
            fleet.run_for(phase);
            fleet.set_leaving(1, last_upstream);
            instant const listed = fleet.now();
            instant const limit = std::max(
                listed + bound, fleet.replace_leader() + leader_change_time);
            fleet.run_for(8s);
            cr_expect_leq(fleet.last_arrival().time_since_epoch().count(),
                          limit.time_since_epoch().count(),
                          "%zu hosts, phase %.3f s", hosts,
                          std::chrono::duration<double>(phase).count());
        }
    }
}
