#include "group_fixture.hpp"
#include "schedule.hpp"

#include <chrono>
#include <deque>
#include <optional>
#include <string>

using namespace bilberrylead::agreement;
using namespace bilberrylead::agreement::tests;
using namespace std::chrono_literals;

namespace
{

/// How many steps a schedule takes.
constexpr std::size_t steps = 1000;

/// The breach that a schedule shows with one safeguard switched off. With
/// all of them on the same schedule must show none.
std::string violation_without(bool safeguards::* safeguard, std::uint64_t seed)
{
    std::optional<std::string> const with =
        schedule(seed, safeguards()).run(steps);
    cr_assert_not(with.has_value(), "seed %lu: %s", seed,
                  with.value_or("").c_str());
    safeguards without;
    without.*safeguard = false;
    return schedule(seed, without).run(steps).value_or("");
}

/// Searches seeds from `first` on until a schedule shows a breach.
void expect_violation_without(bool safeguards::* safeguard, std::uint64_t first,
                              std::uint64_t count, std::string const& words)
{
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        if (violation_without(safeguard, seed).find(words) != std::string::npos)
        {
            return;
        }
    }
    cr_assert(false, "No schedule shows '%s'.", words.c_str());
}

/// The leader hears one follower only, and the other one wants to be
/// elected. Gives the breach, if there is one.
std::string read_during_election(safeguards const& enabled)
{
    group_fixture group(3, 0, replica_settings(), enabled);
    std::size_t const old = *group.leader();
    std::size_t const cut_off = group.other_than(old, old);
    group.block_link(old, cut_off);
    group.block_link(cut_off, old);
    for (int ticks = 0; ticks < 60; ++ticks)
    {
        group.run_for(group.settings.tick_interval);
        if (group.hosts[cut_off].is_leader())
        {
            cr_assert(group.propose_and_deliver(cut_off) == outcome::accepted);
            break;
        }
    }
    group.read_at(old);
    group.carry_out_all(old);
    return group.checker.violation.value_or("");
}

/// The answers to the leader's last heartbeat come in one by one, each
/// just in time to keep it from stepping down. Gives the breach, if any.
std::string read_after_late_answers(safeguards const& enabled)
{
    group_fixture group(3, 0, replica_settings(), enabled);
    std::size_t const old = *group.leader();
    group.elapsed += group.settings.heartbeat_interval;
    group.process(old, tick{});
    for (int heartbeats = 0; heartbeats < 2; ++heartbeats)
    {
        std::size_t const to = group.in_flight.front().to;
        group.deliver(0);
        group.carry_out_all(to);
    }
    group.isolate(old);
    std::deque<envelope> late;
    late.swap(group.in_flight);
    cr_assert_eq(late.size(), 2U);
    for (envelope const& answer : late)
    {
        group.run_for(7 * group.settings.tick_interval);
        group.in_flight.push_back(answer);
        group.deliver_all();
    }
    for (int ticks = 0; ticks < 7 && *group.leader() == old; ++ticks)
    {
        group.run_for(group.settings.tick_interval);
    }
    cr_assert_neq(*group.leader(), old);
    cr_assert(group.propose_and_deliver(*group.leader()) == outcome::accepted);
    group.read_at(old);
    group.carry_out_all(old);
    return group.checker.violation.value_or("");
}

/// A change is accepted by the leader and one follower while the third host
/// is cut off; then that follower's disk is lost and the leader is gone for
/// a while. Gives the breach, if there is one.
std::string lose_disk_of_the_second_copy(safeguards const& enabled)
{
    group_fixture group(3, 0, replica_settings(), enabled);
    std::size_t const leader = *group.leader();
    std::size_t const blank = group.other_than(leader, leader);
    group.isolate(group.other_than(leader, blank));
    cr_assert(group.propose_and_deliver(leader) == outcome::accepted);
    group.crash(leader);
    group.crash(blank);
    group.lose_disk(blank);
    group.start(blank);
    group.heal();
    group.run_for(10s);
    bool const elected_without_leader = group.leader().has_value();
    group.start(leader);
    group.run_for(10s);
    cr_assert_eq(elected_without_leader, !enabled.incarnation_check);
    if (enabled.incarnation_check)
    {
        cr_assert(group.propose_and_deliver(*group.leader()) ==
                  outcome::accepted);
    }
    return group.checker.violation.value_or("");
}

} // namespace

Test(safeguard, pre_vote_when_off_lets_a_lonely_host_raise_its_term)
{
    expect_violation_without(&safeguards::pre_vote, 0, 20, "hears nobody");
}

Test(safeguard, durable_vote_when_off_gives_a_term_two_leaders)
{
    expect_violation_without(&safeguards::durable_vote_before_answer, 2681, 1,
                             "is led by");
}

Test(safeguard, durable_entries_when_off_loses_an_accepted_change)
{
    expect_violation_without(&safeguards::durable_entries_before_answer, 31, 1,
                             "applies another entry");
}

Test(safeguard, commit_of_own_term_when_off_overwrites_an_applied_entry)
{
    expect_violation_without(&safeguards::commit_own_term_only, 829, 1,
                             "applies another entry");
}

Test(safeguard, quorum_check_when_off_leaves_an_isolated_leader_in_office)
{
    expect_violation_without(&safeguards::quorum_check, 0, 100,
                             "leads and hears");
}

Test(safeguard, one_change_at_a_time_when_off_overwrites_an_applied_entry)
{
    expect_violation_without(&safeguards::one_change_at_a_time, 271, 1,
                             "applies another entry");
}

Test(safeguard, incarnation_check_when_off_loses_an_accepted_change)
{
    // An operator heard "accepted"; both copies but the leader's are gone
    // or never were. If the blank host's vote counted, the host that never
    // heard of the change would lead and put another one in its place.
    safeguards without;
    without.incarnation_check = false;
    cr_assert_neq(lose_disk_of_the_second_copy(without), "");
    cr_assert_eq(lose_disk_of_the_second_copy(safeguards()), "");
}

Test(safeguard, vote_within_the_lease_when_allowed_makes_a_read_stale)
{
    // A caller reads at the old leader just after another one heard
    // "accepted" from its successor, which a follower of the old leader
    // helped into office while its own answers still kept the lease.
    safeguards without;
    without.vote_waits_for_lease = false;
    cr_assert_neq(read_during_election(without), "");
    cr_assert_eq(read_during_election(safeguards()), "");
    expect_violation_without(&safeguards::vote_waits_for_lease, 5064, 1,
                             "was told before");
}

Test(safeguard, lease_counted_from_arrival_makes_a_read_stale)
{
    // The network holds two answers back and cuts the leader off. Each late
    // answer would stretch the lease, though its sender has long helped a
    // successor into office.
    safeguards without;
    without.lease_from_send = false;
    cr_assert_neq(read_after_late_answers(without), "");
    cr_assert_eq(read_after_late_answers(safeguards()), "");
}
