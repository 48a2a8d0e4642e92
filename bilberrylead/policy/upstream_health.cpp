#include "bilberrylead/policy/upstream_health.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstddef>
#include <utility>

namespace bilberrylead::policy
{

namespace
{

namespace front = boost::msm::front;

/// An event and the time at which it occurred.
template <class Event>
struct timed_event
{
    Event event;
    instant now;
};

/// States in the order in which the transition table first names them, which is
/// the order in which MSM numbers them.
constexpr std::array condition_of_state = {
    upstream_condition::healthy, upstream_condition::suspected,
    upstream_condition::ejected, upstream_condition::probing};

struct health_front : front::state_machine_def<health_front>
{
    // State.
    upstream_health_settings settings;
    std::uint32_t slots = 1;
    std::uint32_t failures = 0;
    std::uint32_t answers = 0;
    duration ejection_time{};
    instant ejected_at;

    struct healthy : front::state<>
    {
    };
    struct suspected : front::state<>
    {
    };
    struct ejected : front::state<>
    {
    };
    struct probing : front::state<>
    {
    };
    using initial_state = healthy;

    // Guards.
    struct enough_failures
    {
        template <class Event, class Machine, class From, class To>
        bool operator()(Event const& failed, Machine& machine, From&, To&)
        {
            return machine.failures + 1 >= machine.settings.failures_to_eject &&
                   failed.event.others_have_capacity;
        }
    };
    struct ejection_over
    {
        template <class Event, class Machine, class From, class To>
        bool operator()(Event const& event, Machine& machine, From&, To&)
        {
            return event.now - machine.ejected_at >= machine.ejection_time;
        }
    };
    struct all_slots_restored
    {
        template <class Event, class Machine, class From, class To>
        bool operator()(Event const&, Machine& machine, From&, To&)
        {
            return machine.answers + 1 >=
                   machine.slots * machine.settings.answers_per_slot;
        }
    };

    // Actions.
    struct count_failure
    {
        template <class Event, class Machine, class From, class To>
        void operator()(Event const&, Machine& machine, From&, To&)
        {
            ++machine.failures;
        }
    };
    struct count_answer
    {
        template <class Event, class Machine, class From, class To>
        void operator()(Event const&, Machine& machine, From&, To&)
        {
            ++machine.answers;
        }
    };
    struct become_healthy
    {
        template <class Event, class Machine, class From, class To>
        void operator()(Event const&, Machine& machine, From&, To&)
        {
            machine.failures = 0;
            machine.answers = 0;
            machine.ejection_time = machine.settings.base_ejection_time;
        }
    };
    struct start_ejection
    {
        template <class Event, class Machine, class From, class To>
        void operator()(Event const& event, Machine& machine, From&, To&)
        {
            machine.ejected_at = event.now;
        }
    };
    struct extend_ejection
    {
        template <class Event, class Machine, class From, class To>
        void operator()(Event const& event, Machine& machine, From&, To&)
        {
            machine.ejected_at = event.now;
            machine.ejection_time = std::min(
                machine.ejection_time * 2, machine.settings.max_ejection_time);
        }
    };
    struct start_probing
    {
        template <class Event, class Machine, class From, class To>
        void operator()(Event const&, Machine& machine, From&, To&)
        {
            machine.failures = 0;
            machine.answers = 0;
        }
    };

    using answered = timed_event<upstream_answered>;
    using failed = timed_event<upstream_failed>;
    using elapsed = timed_event<health_timer_elapsed>;
    using exhausted = timed_event<capacity_exhausted>;
    using started = timed_event<upstream_started>;

    template <class From, class Event, class To, class Action,
              class Guard = front::none>
    using row = front::Row<From, Event, To, Action, Guard>;

    // MSM tries the rows of one state and event from last to first: a guarded
    // row stands below the unguarded row that applies otherwise.
    struct transition_table
        : boost::mpl::vector<
              row<healthy, failed, suspected, count_failure>,
              row<suspected, answered, healthy, become_healthy>,
              row<suspected, failed, front::none, count_failure>,
              row<suspected, failed, ejected, start_ejection, enough_failures>,
              row<ejected, elapsed, probing, start_probing, ejection_over>,
              row<ejected, exhausted, probing, start_probing>,
              row<probing, failed, ejected, extend_ejection>,
              row<probing, answered, front::none, count_answer>,
              row<probing, answered, healthy, become_healthy,
                  all_slots_restored>,
              row<healthy, started, probing, start_probing>,
              row<suspected, started, probing, start_probing>,
              row<ejected, started, probing, start_probing>,
              row<probing, started, front::none, start_probing>>
    {
    };

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
        // All other events are ignored in this state.
    }
};

} // namespace

bool may_eject(std::uint32_t slots, std::uint32_t usable, double in_use)
{
    constexpr double max_utilization = 0.9;
    if (slots >= usable)
    {
        return false;
    }
    return in_use <= max_utilization * (usable - slots);
}

struct upstream_health::life_cycle
{
    boost::msm::back::state_machine<health_front> machine;
};

upstream_health::upstream_health(std::uint32_t slots,
                                 upstream_health_settings const& settings)
    : cycle(std::make_unique<life_cycle>())
{
    assert(slots > 0);
    this->cycle->machine.settings = settings;
    this->cycle->machine.slots = slots;
    this->cycle->machine.ejection_time = settings.base_ejection_time;
    this->cycle->machine.start();
}

upstream_health::~upstream_health() = default;
upstream_health::upstream_health(upstream_health&& other) noexcept = default;
upstream_health&
upstream_health::operator=(upstream_health&& other) noexcept = default;

upstream_condition upstream_health::reduce(health_event const& event,
                                           instant now)
{
    std::visit(
        [this, now](auto const& event_value)
        {
            using event_type = std::decay_t<decltype(event_value)>;
            this->cycle->machine.process_event(
                timed_event<event_type>{event_value, now});
        },
        event);
    return this->condition();
}

upstream_condition upstream_health::condition() const
{
    int const state = this->cycle->machine.current_state()[0];
    return condition_of_state.at(static_cast<std::size_t>(state));
}

std::uint32_t upstream_health::usable_slots() const
{
    health_front const& machine = this->cycle->machine;
    switch (this->condition())
    {
    case upstream_condition::ejected:
        return 0;
    case upstream_condition::probing:
        return std::min(machine.slots,
                        1 + machine.answers /
                                machine.settings.answers_per_slot);
    case upstream_condition::healthy:
    case upstream_condition::suspected:
        break;
    }
    return machine.slots;
}

} // namespace bilberrylead::policy
