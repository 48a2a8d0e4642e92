#include "timed_group.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

using namespace bilberrylead::agreement;
using namespace bilberrylead::agreement::tests;
using namespace std::chrono_literals;
using bilberrylead::duration;

namespace
{

constexpr std::uint64_t seeds = 300;
constexpr duration between_regions = 35ms;
/// Longer than any election.
constexpr duration longest = 10s;
/// An election timeout after the last message a voter may stand and the others
/// may vote; the drawn part of the timer takes up to another one. Then two
/// round trips, and two timers that fire a tick late.
duration bound_of(replica_settings const& settings)
{
    return 2 * settings.election_timeout + 4 * between_regions +
           2 * settings.tick_interval;
}

long in_ms(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

void expect_within(std::vector<duration> times, duration bound,
                   char const* name)
{
    std::sort(times.begin(), times.end());
    std::size_t const late = static_cast<std::size_t>(
        times.end() - std::upper_bound(times.begin(), times.end(), bound));
    cr_log_info("%s: half %ld, nine tenths %ld, longest %ld ms; %zu of %zu "
                "later than %ld ms",
                name, in_ms(times[times.size() / 2]),
                in_ms(times[times.size() * 9 / 10]), in_ms(times.back()), late,
                times.size(), in_ms(bound));
    cr_expect_eq(late, 0U, "%s: %zu of %zu take longer than %ld ms, up to %ld",
                 name, late, times.size(), in_ms(bound), in_ms(times.back()));
}

/// The time without a leader once the leader of five hosts is lost at a drawn
/// moment, and with it others that do not lead.
std::vector<duration> times_after_losses(std::size_t lost_besides)
{
    std::vector<duration> times;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        timed_group group(5, seed, between_regions);
        cr_assert(group.time_to_leader(std::nullopt, longest).has_value());
        std::size_t const drawn = group.random() % 500;
        for (std::size_t passed = 0; passed < 1000 + drawn; ++passed)
        {
            group.step();
        }
        std::size_t const old = *group.leader();
        group.crash(old);
        for (std::size_t lost = 1; lost <= lost_besides; ++lost)
        {
            group.crash((old + lost) % group.hosts.size());
        }
        std::optional<duration> const time = group.time_to_leader(old, longest);
        cr_assert(time.has_value(), "seed %zu%s", std::size_t(seed),
                  group.describe().c_str());
        times.push_back(*time);
    }
    return times;
}

} // namespace

// Guards against an election that waits for a second timeout because two hosts
// stood within a message's way of each other and split the votes.
Test(election_time, group_when_its_leader_is_lost_has_another_in_two_timeouts)
{
    expect_within(times_after_losses(0), bound_of({}), "leader lost");
}

Test(election_time,
     group_when_a_bare_quorum_is_left_has_another_in_two_timeouts)
{
    expect_within(times_after_losses(1), bound_of({}), "two lost");
}

// Guards against pre-votes that are lost because hosts that start together are
// not linked yet, and that are repeated only after a whole timeout.
Test(election_time, group_when_links_open_late_elects_soon_after)
{
    std::vector<duration> times;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        timed_group group(5, seed, between_regions);
        for (std::size_t from = 0; from < 5; ++from)
        {
            for (std::size_t to = 0; to < 5; ++to)
            {
                group.closed_links.insert({from, to});
            }
        }
        duration const open_at = group.settings.election_timeout * 2;
        while (group.elapsed < open_at)
        {
            group.step();
        }
        group.closed_links.clear();
        std::optional<duration> const time =
            group.time_to_leader(std::nullopt, longest);
        cr_assert(time.has_value());
        times.push_back(*time);
    }
    // All have waited long enough: an interval until the pre-vote is repeated,
    // two round trips, two ticks.
    replica_settings const settings;
    expect_within(times,
                  settings.heartbeat_interval + 4 * between_regions +
                      2 * settings.tick_interval,
                  "links open late");
}
