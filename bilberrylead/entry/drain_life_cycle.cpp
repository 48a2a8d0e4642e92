#include "bilberrylead/entry/drain_life_cycle.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cstddef>

namespace bilberrylead::entry
{

namespace
{

namespace front = boost::msm::front;

struct begin_step
{
};
struct expire_step
{
};
struct end_step
{
};

/// States in the order in which MSM numbers them: first the source states of
/// the transition table, by their first row, then the states without outgoing
/// transitions.
constexpr std::array state_of_number = {
    drain_state::serving, drain_state::withdrawing, drain_state::finishing,
    drain_state::ended};

struct drain_front : front::state_machine_def<drain_front>
{
    struct serving : front::state<>
    {
    };
    struct withdrawing : front::state<>
    {
    };
    struct finishing : front::state<>
    {
    };
    struct ended : front::state<>
    {
    };
    using initial_state = serving;

    template <class From, class Step, class To>
    using row = front::Row<From, Step, To, front::none, front::none>;

    using transition_table =
        boost::mpl::vector<row<serving, begin_step, withdrawing>,
                           row<withdrawing, expire_step, finishing>,
                           row<finishing, end_step, ended>>;

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
    }
};

} // namespace

class drain_life_cycle::machine
    : public boost::msm::back::state_machine<drain_front>
{
};

drain_life_cycle::drain_life_cycle()
    : state_machine(std::make_unique<machine>())
{
    this->state_machine->start();
}

drain_life_cycle::~drain_life_cycle() = default;

drain_state drain_life_cycle::current() const
{
    return state_of_number.at(
        static_cast<std::size_t>(this->state_machine->current_state()[0]));
}

bool drain_life_cycle::begin()
{
    return this->state_machine->process_event(begin_step{}) ==
           boost::msm::back::HANDLED_TRUE;
}

bool drain_life_cycle::expire_answers()
{
    return this->state_machine->process_event(expire_step{}) ==
           boost::msm::back::HANDLED_TRUE;
}

bool drain_life_cycle::end()
{
    return this->state_machine->process_event(end_step{}) ==
           boost::msm::back::HANDLED_TRUE;
}

} // namespace bilberrylead::entry
