#include "bilberrylead/agreement/role_life_cycle.hpp"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bilberrylead::agreement
{

namespace
{

namespace front = boost::msm::front;

struct joined_voters
{
};
struct left_voters
{
};
struct leader_missing
{
};
struct campaign_started
{
};
struct election_won
{
};
struct stepped_down
{
};
struct disk_broken
{
};

/// State that sets the role it represents on entry.
template <agreement::role Role>
struct role_state : public front::state<>
{
    template <class Event, class Machine>
    void on_entry(Event const&, Machine& machine)
    {
        machine.current_role = Role;
    }
};

using learner_state = role_state<role::learner>;
using follower_state = role_state<role::follower>;
using pre_candidate_state = role_state<role::pre_candidate>;
using candidate_state = role_state<role::candidate>;
using leader_state = role_state<role::leader>;
using stopped_state = role_state<role::stopped>;

template <class From, class Event, class To>
using transition = front::Row<From, Event, To, front::none, front::none>;

struct cycle_definition : public front::state_machine_def<cycle_definition>
{
    using initial_state = learner_state;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        transition<learner_state, joined_voters, follower_state>,
        transition<learner_state, disk_broken, stopped_state>,
        transition<follower_state, left_voters, learner_state>,
        transition<follower_state, leader_missing, pre_candidate_state>,
        transition<follower_state, campaign_started, candidate_state>,
        transition<follower_state, disk_broken, stopped_state>,
        transition<pre_candidate_state, left_voters, learner_state>,
        transition<pre_candidate_state, stepped_down, follower_state>,
        transition<pre_candidate_state, campaign_started, candidate_state>,
        transition<pre_candidate_state, disk_broken, stopped_state>,
        transition<candidate_state, left_voters, learner_state>,
        transition<candidate_state, stepped_down, follower_state>,
        transition<candidate_state, leader_missing, pre_candidate_state>,
        transition<candidate_state, election_won, leader_state>,
        transition<candidate_state, disk_broken, stopped_state>,
        transition<leader_state, stepped_down, follower_state>,
        transition<leader_state, disk_broken, stopped_state>
    >
    {
    };
    // clang-format on

    /// Events without a transition are ignored.
    template <class Event, class Machine>
    void no_transition(Event const&, Machine&, int)
    {
    }

    agreement::role current_role = agreement::role::learner;
};

} // namespace

class role_life_cycle::machine
    : public boost::msm::back::state_machine<cycle_definition>
{
};

role_life_cycle::role_life_cycle() : cycle(std::make_unique<machine>())
{
    this->cycle->start();
}

role_life_cycle::~role_life_cycle() = default;

role role_life_cycle::current() const
{
    return this->cycle->current_role;
}

void role_life_cycle::join_voters()
{
    this->cycle->process_event(joined_voters{});
}

void role_life_cycle::leave_voters()
{
    this->cycle->process_event(left_voters{});
}

void role_life_cycle::start_pre_vote()
{
    this->cycle->process_event(leader_missing{});
}

void role_life_cycle::campaign()
{
    this->cycle->process_event(campaign_started{});
}

void role_life_cycle::win()
{
    this->cycle->process_event(election_won{});
}

void role_life_cycle::follow()
{
    this->cycle->process_event(stepped_down{});
}

void role_life_cycle::stop()
{
    this->cycle->process_event(disk_broken{});
}

} // namespace bilberrylead::agreement
