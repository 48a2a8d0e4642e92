#include "group_fixture.hpp"

#include <chrono>

using namespace bilberrylead::agreement;
using namespace bilberrylead::agreement::tests;
using namespace std::chrono_literals;
using bilberrylead::host_id;

namespace
{

constexpr std::uint64_t change_token = 1000;

} // namespace

Test(membership, new_host_when_added_catches_up_and_becomes_a_voter)
{
    group_fixture group(3, 1);
    std::size_t const leader = *group.leader();
    group.propose_and_deliver(leader);
    group.process(leader, membership_change_requested{
                              change_token, membership_action::add_voter,
                              group.hosts[3].id, 0});
    group.run_for(2s);
    cr_assert(group.outcome_of(change_token) == outcome::accepted);
    membership const& members = group.hosts[leader].replica->membership();
    cr_assert(members.is_voter(group.hosts[3].id, 1), "%s",
              group.describe().c_str());
    cr_assert_eq(members.quorum(), 3U);
    group.expect_no_violation();
}

Test(membership, second_change_before_the_first_is_committed_is_refused)
{
    group_fixture group(3, 2);
    std::size_t const leader = *group.leader();
    for (std::uint64_t more = 0; more < 2; ++more)
    {
        group.reduce(leader,
                     membership_change_requested{change_token + more,
                                                 membership_action::add_learner,
                                                 group.hosts[3 + more].id, 1});
    }
    group.carry_out_all(leader);
    group.deliver_all();
    cr_assert(group.outcome_of(change_token) == outcome::accepted);
    cr_assert(group.outcome_of(change_token + 1) == outcome::refused);
}

Test(membership, change_that_leaves_no_live_quorum_is_refused)
{
    // One of three hosts is down and an operator removes one of the two that
    // respond. If accepted, the change could be neither committed nor undone.
    group_fixture group;
    std::size_t const leader = *group.leader();
    std::size_t const crashed = group.other_than(leader, leader);
    std::size_t const live = group.other_than(leader, crashed);
    group.crash(crashed);
    group.run_for(2s);
    group.process(leader, membership_change_requested{change_token,
                                                      membership_action::remove,
                                                      group.hosts[live].id, 0});
    cr_assert(group.outcome_of(change_token) == outcome::refused);
    cr_assert(group.propose_and_deliver(leader) == outcome::accepted);
}

Test(membership, leader_when_its_removal_is_unreplicated_leads_until_it_commits)
{
    // Found by schedule seeds: the leader of two voters removes itself, and the
    // entry reaches no other host. The other voter needs its vote but has the
    // shorter log, so the removed host must lead once more.
    group_fixture group(2);
    std::size_t const leader = *group.leader();
    group.isolate(leader);
    group.process(leader, membership_change_requested{
                              change_token, membership_action::remove,
                              group.hosts[leader].id, 0});
    group.run_for(3s);
    group.heal();
    group.run_for(10s);
    cr_assert(group.leader().has_value(), "%s", group.describe().c_str());
    cr_assert_neq(*group.leader(), leader);
    group.expect_no_violation();
}

Test(membership, leader_when_handover_is_requested_hands_over_without_a_timeout)
{
    // The leader is to be stopped for maintenance. Its successor must be
    // elected within a few messages, without an election timeout.
    group_fixture group;
    std::size_t const old = *group.leader();
    group.process(old, handover_requested{});
    group.deliver_all();
    cr_assert(group.leader().has_value());
    cr_assert_neq(*group.leader(), old);
    cr_assert(group.propose_and_deliver(*group.leader()) == outcome::accepted);
    group.expect_no_violation();
}
