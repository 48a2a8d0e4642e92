#include "group_fixture.hpp"

#include <chrono>

using namespace bilberrylead::agreement;
using namespace bilberrylead::agreement::tests;
using namespace std::chrono_literals;
using bilberrylead::host_id;

Test(replica, three_members_when_started_elect_a_leader_and_accept_a_proposal)
{
    group_fixture group;
    cr_assert(group.propose_and_deliver(*group.leader()) == outcome::accepted);
    group.expect_no_violation();
}

Test(replica, leader_when_isolated_for_long_steps_down_and_later_catches_up)
{
    // A leader is isolated with an uncommitted proposal in its log; the others
    // elect a successor and continue. The old leader must step down by its own
    // clock and report the proposal's outcome as unknown, since another log may
    // still contain the entry.
    group_fixture group;
    std::size_t const old = *group.leader();
    group.isolate(old);
    std::uint64_t const pending_change = group.propose_at(old);
    group.carry_out_all(old);
    group.run_for(10s);
    cr_assert(group.outcome_of(pending_change) == outcome::unknown);
    std::size_t const next = *group.leader();
    cr_assert_neq(next, old);
    cr_assert(group.propose_and_deliver(next) == outcome::accepted);
    cr_assert(group.propose_and_deliver(old) == outcome::refused);
    cr_assert_not(group.read_index(group.read_at(old)).has_value());

    std::uint64_t const term = group.hosts[next].replica->term();
    group.heal();
    group.run_for(2s);
    cr_assert_eq(*group.leader(), next, "The healthy leader was deposed.");
    cr_assert_eq(group.hosts[next].replica->term(), term);
    cr_assert_eq(group.hosts[old].applied, group.checker.committed());
    group.expect_no_violation();
}

Test(replica, leader_when_resumed_answers_no_read_under_an_expired_lease)
{
    // A leader's process is suspended and a successor accepts a proposal. When
    // the old leader resumes, its first event is a read, before any tick or
    // message; the read must not be answered under the expired lease.
    group_fixture group;
    std::size_t const old = *group.leader();
    group.hosts[old].frozen = true;
    group.run_for(4s);
    cr_assert(group.propose_and_deliver(*group.leader()) == outcome::accepted);
    group.hosts[old].frozen = false;
    std::uint64_t const token = group.read_at(old);
    group.carry_out_all(old);
    group.run_for(1s);
    cr_assert_not(group.read_index(token).has_value());
    group.expect_no_violation();
}

Test(replica, old_and_new_leader_when_both_get_a_proposal_accept_only_one)
{
    // One proposal goes to a leader that was just isolated, another to its
    // successor. Only the one that a quorum stores is accepted; the outcome of
    // the other one is unknown.
    group_fixture group;
    std::size_t const old = *group.leader();
    group.isolate(old);
    std::uint64_t const lost = group.propose_at(old);
    group.carry_out_all(old);
    while (*group.leader() == old)
    {
        group.run_for(group.settings.tick_interval);
    }
    cr_assert(group.propose_and_deliver(*group.leader()) == outcome::accepted);
    group.heal();
    group.run_for(3s);
    cr_assert(group.outcome_of(lost) == outcome::unknown);
    group.expect_no_violation();
}

Test(replica, host_when_restarted_after_500_entries_catches_up_by_snapshot)
{
    // A host is down while 500 entries are committed and the log prefix is
    // replaced by snapshots. After its restart with an old log it must reach
    // the same state by snapshot and never go back to an older state.
    replica_settings settings;
    settings.snapshot_threshold = 100;
    settings.kept_entries = 20;
    settings.max_append_entries = 16;
    group_fixture group(3, 0, settings);
    std::size_t const leader = *group.leader();
    std::size_t const late = group.other_than(leader, leader);
    group.propose_and_deliver(leader);
    group.crash(late);
    for (int change = 0; change < 500; ++change)
    {
        cr_assert(group.propose_and_deliver(leader) == outcome::accepted);
    }
    group.start(late);
    group.run_for(2s);
    cr_assert_geq(group.hosts[late].applied, 500U);
    cr_assert_eq(group.hosts[late].applied, group.checker.committed());
    cr_assert(group.hosts[late].disk.read().snapshot.has_value());
    group.expect_no_violation();
}

Test(replica, group_when_second_host_is_lost_after_readmission_elects_a_leader)
{
    // A host loses its disk and is readmitted. As soon as it is a voter again,
    // a second host is lost permanently. The group must elect a leader again,
    // and no accepted proposal may be lost.
    group_fixture group;
    std::size_t const leader = *group.leader();
    std::size_t const wiped = group.other_than(leader, leader);
    cr_assert(group.propose_and_deliver(leader) == outcome::accepted);
    group.crash(wiped);
    group.lose_disk(wiped);
    group.start(wiped);
    host_id const id = group.hosts[wiped].id;
    for (int ticks = 0; ticks < 100; ++ticks)
    {
        if (group.hosts[leader].replica->membership().is_voter(id, 2))
        {
            break;
        }
        group.run_for(group.settings.tick_interval);
    }
    cr_assert(group.hosts[leader].replica->membership().is_voter(id, 2));
    group.crash(leader);
    group.lose_disk(leader);
    group.run_for(5s);
    cr_assert(group.leader().has_value(), "%s", group.describe().c_str());
    cr_assert(group.propose_and_deliver(*group.leader()) == outcome::accepted);
    group.expect_no_violation();
}

Test(replica, sole_voter_when_crashed_before_sync_has_reported_no_commit)
{
    // Found by schedule seed 823, with one voter and a learner: the voter
    // commits in the call that writes the entry, sends before the sync and
    // crashes before it is durable. The learner must not have applied an entry
    // that the voter lost.
    group_fixture group(1, 1);
    host_id const learner = group.hosts[1].id;
    group.process(0, membership_change_requested{
                         99, membership_action::add_learner, learner, 1});
    group.run_for(1s);
    group.propose_at(0);
    while (!group.hosts[0].pending_effects.empty() &&
           !std::holds_alternative<bilberrylead::agreement::sync>(
               group.hosts[0].pending_effects.front()))
    {
        group.carry_out(0, 1);
    }
    group.crash(0);
    group.deliver_all();
    group.start(0);
    group.run_for(3s);
    cr_assert(group.propose_and_deliver(0) == outcome::accepted);
    group.expect_no_violation();
}

Test(replica, disk_when_failed_stops_the_leader_and_a_successor_takes_over)
{
    // The leader's disk fails. The leader must acknowledge nothing more, and
    // the next proposal is accepted by its successor.
    group_fixture group;
    std::size_t const old = *group.leader();
    group.process(old, disk_failed{});
    cr_assert(group.propose_and_deliver(old) == outcome::refused);
    group.run_for(4s);
    cr_assert_neq(*group.leader(), old);
    cr_assert(group.propose_and_deliver(*group.leader()) == outcome::accepted);
    group.expect_no_violation();
}

// All hosts lose power at once and callers wait for the first one to restart.
// It must apply the committed entries before there is a leader: until then,
// entry hosts that lost power as well refuse every request.
Test(replica, host_when_alone_after_power_loss_applies_committed_entries)
{
    group_fixture group(3, 0);
    std::size_t const leader = *group.leader();
    for (int change = 0; change < 20; ++change)
    {
        cr_assert(group.propose_and_deliver(leader) == outcome::accepted);
    }
    group.run_for(1s);
    std::uint64_t const committed = group.checker.committed();
    for (std::size_t host_index = 0; host_index < 3; ++host_index)
    {
        group.crash(host_index);
    }
    group.start(0);
    cr_expect_eq(group.hosts[0].applied, committed);
    group.run_for(5s);
    cr_expect_not(group.leader().has_value(),
                  "one host of three must not elect a leader");
    group.start(1);
    group.run_for(5s);
    cr_expect(group.propose_and_deliver(*group.leader()) == outcome::accepted);
    group.expect_no_violation();
}
