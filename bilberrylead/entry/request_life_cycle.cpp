#include "bilberrylead/entry/request_life_cycle.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cassert>
#include <cstddef>

namespace bilberrylead::entry
{

namespace
{

namespace front = boost::msm::front;

struct claim_step
{
};
struct wait_step
{
};
struct pause_step
{
};
struct send_step
{
};
struct stream_step
{
};
struct collect_step
{
};
struct store_step
{
};

/// States in the order in which MSM numbers them: first the source states of
/// the transition table, by their first row, then the states without outgoing
/// transitions.
constexpr std::array state_of_number = {
    request_state::pausing, request_state::claiming,   request_state::waiting,
    request_state::running, request_state::collecting, request_state::streaming,
    request_state::storing};

struct request_front : front::state_machine_def<request_front>
{
    struct pausing : front::state<>
    {
    };
    struct claiming : front::state<>
    {
    };
    struct waiting : front::state<>
    {
    };
    struct running : front::state<>
    {
    };
    struct streaming : front::state<>
    {
    };
    struct collecting : front::state<>
    {
    };
    struct storing : front::state<>
    {
    };
    using initial_state = pausing;

    template <class From, class Step, class To>
    using row = front::Row<From, Step, To, front::none, front::none>;

    using transition_table = boost::mpl::vector<
        row<pausing, claim_step, claiming>, row<pausing, wait_step, waiting>,
        row<claiming, pause_step, pausing>, row<waiting, pause_step, pausing>,
        row<waiting, send_step, running>, row<running, pause_step, pausing>,
        row<running, stream_step, streaming>,
        row<running, collect_step, collecting>,
        row<collecting, store_step, storing>>;

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
        assert(
            !"request life cycle: transition not allowed in the current state");
    }
};

} // namespace

class request_life_cycle::machine
    : public boost::msm::back::state_machine<request_front>
{
};

request_life_cycle::request_life_cycle()
    : state_machine(std::make_unique<machine>())
{
    this->state_machine->start();
}

request_life_cycle::~request_life_cycle() = default;
request_life_cycle::request_life_cycle(request_life_cycle&& other) noexcept =
    default;
request_life_cycle&
request_life_cycle::operator=(request_life_cycle&& other) noexcept = default;

request_state request_life_cycle::current() const
{
    return state_of_number.at(
        static_cast<std::size_t>(this->state_machine->current_state()[0]));
}

void request_life_cycle::claim()
{
    this->state_machine->process_event(claim_step{});
}

void request_life_cycle::wait()
{
    this->state_machine->process_event(wait_step{});
}

void request_life_cycle::pause()
{
    this->state_machine->process_event(pause_step{});
}

void request_life_cycle::send()
{
    this->state_machine->process_event(send_step{});
}

void request_life_cycle::stream()
{
    this->state_machine->process_event(stream_step{});
}

void request_life_cycle::collect()
{
    this->state_machine->process_event(collect_step{});
}

void request_life_cycle::store()
{
    this->state_machine->process_event(store_step{});
}

} // namespace bilberrylead::entry
