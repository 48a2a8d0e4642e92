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

/// Number of steps in a schedule.
constexpr std::size_t steps = 1000;

/// Returns the violation that a schedule shows with one safeguard switched off.
/// With all safeguards on, the same schedule must show none.
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

/// Searches `count` seeds from `first` on for a schedule that shows the
/// expected violation.
void expect_violation_without(bool safeguards::* safeguard, std::uint64_t first,
                              std::uint64_t count,
                              std::string const& expected_text)
{
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        if (violation_without(safeguard, seed).find(expected_text) !=
            std::string::npos)
        {
            return;
        }
    }
    cr_assert(false, "No schedule shows '%s'.", expected_text.c_str());
}

/// The leader has contact with one follower only, and the other follower starts
/// an election. Returns the violation, or an empty string.
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

/// The replies to the leader's last heartbeat arrive one by one, each just in
/// time to keep it from stepping down. Returns the violation, or an empty
/// string.
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

/// A proposal is accepted by the leader and one follower while the third host
/// is isolated. Then that follower loses its disk and the leader is down for a
/// while. Returns the violation, or an empty string.
std::string lose_disk_of_the_second_copy(safeguards const& enabled)
{
    group_fixture group(3, 0, replica_settings(), enabled);
    std::size_t const leader = *group.leader();
    std::size_t const wiped = group.other_than(leader, leader);
    group.isolate(group.other_than(leader, wiped));
    cr_assert(group.propose_and_deliver(leader) == outcome::accepted);
    group.crash(leader);
    group.crash(wiped);
    group.lose_disk(wiped);
    group.start(wiped);
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

Test(safeguard, pre_vote_when_off_lets_an_isolated_host_raise_its_term)
{
    expect_violation_without(&safeguards::pre_vote, 0, 20,
                             "without receiving any message");
}

Test(safeguard, durable_vote_when_off_allows_two_leaders_in_one_term)
{
    expect_violation_without(&safeguards::durable_vote_before_answer, 221, 1,
                             "has leaders");
}

Test(safeguard, durable_entries_when_off_loses_an_accepted_proposal)
{
    expect_violation_without(&safeguards::durable_entries_before_answer, 173, 1,
                             "applies a different entry");
}

Test(safeguard, commit_own_term_only_when_off_overwrites_an_applied_entry)
{
    expect_violation_without(&safeguards::commit_own_term_only, 5909, 1,
                             "applies a different entry");
}

Test(safeguard, quorum_check_when_off_lets_an_isolated_leader_keep_leading)
{
    expect_violation_without(&safeguards::quorum_check, 0, 100,
                             "leads but received");
}

Test(safeguard, one_change_at_a_time_when_off_overwrites_an_applied_entry)
{
    expect_violation_without(&safeguards::one_change_at_a_time, 43, 1,
                             "applies a different entry");
}

Test(safeguard, incarnation_check_when_off_loses_an_accepted_proposal)
{
    // A proposal was reported as accepted, but the leader's copy is the only
    // one left. If the vote of the host with the empty disk counted, the host
    // that never received the entry would lead and write another one at its
    // index.
    safeguards without;
    without.incarnation_check = false;
    cr_assert_neq(lose_disk_of_the_second_copy(without), "");
    cr_assert_eq(lose_disk_of_the_second_copy(safeguards()), "");
}

Test(safeguard, vote_within_the_lease_when_allowed_makes_a_read_stale)
{
    // A read is sent to the old leader just after its successor reported a
    // proposal as accepted. A follower of the old leader voted for the
    // successor while its own replies still extended the old lease.
    safeguards without;
    without.vote_waits_for_lease = false;
    cr_assert_neq(read_during_election(without), "");
    cr_assert_eq(read_during_election(safeguards()), "");
    expect_violation_without(&safeguards::vote_waits_for_lease, 5064, 1,
                             "was reported before");
}

Test(safeguard, lease_counted_from_arrival_makes_a_read_stale)
{
    // Two replies are delayed and the leader is isolated. Each late reply would
    // extend the lease, although its sender has since voted for a successor.
    safeguards without;
    without.lease_from_send = false;
    cr_assert_neq(read_after_late_answers(without), "");
    cr_assert_eq(read_after_late_answers(safeguards()), "");
}
