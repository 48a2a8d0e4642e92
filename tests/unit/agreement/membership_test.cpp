#include "group_fixture.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

using namespace bilberrylead::agreement;
using namespace bilberrylead::agreement::tests;
using namespace std::chrono_literals;
using bilberrylead::host_id;

namespace
{

constexpr std::uint64_t change_token = 1000;

/// A group of three voters and one further host, a member without a vote.
struct group_with_learner : group_fixture
{
    explicit group_with_learner(bool was_voter)
        : group_fixture(was_voter ? 4 : 3, was_voter ? 0 : 1)
    {
        this->old = *this->leader();
        this->learner = was_voter ? this->other_than(this->old, this->old) : 3;
        if (was_voter)
        {
            this->change(membership_action::remove);
        }
        this->change(membership_action::add_learner);
        cr_assert(this->replica_of_learner().role() == role::learner, "%s",
                  this->describe().c_str());
        cr_assert_eq(this->replica_of_learner().leader(),
                     this->hosts[this->old].id);
    }

    void change(membership_action action)
    {
        std::uint64_t const token =
            change_token + static_cast<std::uint64_t>(action);
        this->process(this->old,
                      membership_change_requested{
                          token, action, this->hosts[this->learner].id, 1});
        this->run_for(1s);
        cr_assert(this->outcome_of(token) == outcome::accepted, "%s",
                  this->describe().c_str());
    }

    replica const& replica_of_learner() const
    {
        return *this->hosts[this->learner].replica;
    }

    /// Isolates the learner for the longest election timeout.
    void expect_leader_is_forgotten()
    {
        std::uint64_t const term = this->replica_of_learner().term();
        this->isolate(this->learner);
        this->run_for(2 * this->settings.election_timeout +
                      2 * this->settings.tick_interval);
        cr_expect(this->replica_of_learner().leader().empty(), "%s",
                  this->describe().c_str());
        cr_expect(this->replica_of_learner().role() == role::learner);
        cr_expect_eq(this->replica_of_learner().term(), term);

        this->heal();
        this->run_for(1s);
        cr_expect_eq(this->replica_of_learner().leader(),
                     this->hosts[this->old].id);
        cr_expect_eq(*this->leader(), this->old);
        this->expect_no_violation();
    }

    std::size_t old = 0;
    std::size_t learner = 0;
};

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

// Guards against a learner that names a leader for ever although it no longer
// hears from it: operators and entry hosts are sent to a host that is gone.
Test(membership, learner_when_its_leader_is_silent_forgets_it)
{
    group_with_learner(false).expect_leader_is_forgotten();
}

// The same for a host that was a voter.
Test(membership, former_voter_when_its_leader_is_silent_forgets_it)
{
    group_with_learner(true).expect_leader_is_forgotten();
}
