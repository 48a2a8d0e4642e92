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
struct votes_won
{
};
struct office_lost
{
};
struct disk_lost
{
};

/// A state that says which role it stands for.
template <agreement::role Role>
struct role_state : public front::state<>
{
    template <class Event, class Machine>
    void on_entry(Event const&, Machine& machine)
    {
        machine.present = Role;
    }
};

using learner_state = role_state<role::learner>;
using follower_state = role_state<role::follower>;
using pre_candidate_state = role_state<role::pre_candidate>;
using candidate_state = role_state<role::candidate>;
using leader_state = role_state<role::leader>;
using stopped_state = role_state<role::stopped>;

template <class From, class Event, class To>
using step = front::Row<From, Event, To, front::none, front::none>;

struct cycle_definition : public front::state_machine_def<cycle_definition>
{
    using initial_state = learner_state;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        step<learner_state, joined_voters, follower_state>,
        step<learner_state, disk_lost, stopped_state>,
        step<follower_state, left_voters, learner_state>,
        step<follower_state, leader_missing, pre_candidate_state>,
        step<follower_state, campaign_started, candidate_state>,
        step<follower_state, disk_lost, stopped_state>,
        step<pre_candidate_state, left_voters, learner_state>,
        step<pre_candidate_state, office_lost, follower_state>,
        step<pre_candidate_state, campaign_started, candidate_state>,
        step<pre_candidate_state, disk_lost, stopped_state>,
        step<candidate_state, left_voters, learner_state>,
        step<candidate_state, office_lost, follower_state>,
        step<candidate_state, leader_missing, pre_candidate_state>,
        step<candidate_state, votes_won, leader_state>,
        step<candidate_state, disk_lost, stopped_state>,
        step<leader_state, office_lost, follower_state>,
        step<leader_state, disk_lost, stopped_state>
    >
    {
    };
    // clang-format on

    /// Steps without a row change nothing.
    template <class Event, class Machine>
    void no_transition(Event const&, Machine&, int)
    {
    }

    agreement::role present = agreement::role::learner;
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
    return this->cycle->present;
}

void role_life_cycle::join_voters()
{
    this->cycle->process_event(joined_voters{});
}

void role_life_cycle::leave_voters()
{
    this->cycle->process_event(left_voters{});
}

void role_life_cycle::ask_for_pre_votes()
{
    this->cycle->process_event(leader_missing{});
}

void role_life_cycle::campaign()
{
    this->cycle->process_event(campaign_started{});
}

void role_life_cycle::win()
{
    this->cycle->process_event(votes_won{});
}

void role_life_cycle::follow()
{
    this->cycle->process_event(office_lost{});
}

void role_life_cycle::stop()
{
    this->cycle->process_event(disk_lost{});
}

} // namespace bilberrylead::agreement
