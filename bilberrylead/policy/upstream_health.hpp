#ifndef BILBERRYLEAD_POLICY_UPSTREAM_HEALTH_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_HEALTH_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/upstream_condition.hpp"
#include "bilberrylead/policy/upstream_health_settings.hpp"

#include <cstdint>
#include <memory>
#include <variant>

namespace bilberrylead::policy
{

/// The upstream gave a whole answer in time.
struct upstream_answered
{
};

/// A request to the upstream failed: connection, time, or a broken answer.
/// An upstream's own "not run" is no failure.
struct upstream_failed
{
    /// True if the other upstreams have room for the load without it. See
    /// may_eject.
    bool others_have_capacity = true;
};

/// Time went by; send it before each choice, or on a timer.
struct health_timer_elapsed
{
};

/// The load needs every slot there is: an ejected upstream is tried again
/// at once.
struct capacity_exhausted
{
};

/// The upstream was started, or joined the configuration.
struct upstream_started
{
};

/// What happens to an upstream's health.
using health_event =
    std::variant<upstream_answered, upstream_failed, health_timer_elapsed,
                 capacity_exhausted, upstream_started>;

/// True if an upstream with `slots` can be spared, while `usable` slots
/// (its own included) carry `in_use` requests on average. A tenth of what
/// remains stays free: ejecting down to the last slot turns one upstream's
/// fault into a queue for everybody.
bool may_eject(std::uint32_t slots, std::uint32_t usable, double in_use);

/// Life cycle of one upstream's health: healthy, suspected, ejected,
/// probing, and back.
///
/// Load it answers: an upstream that fails fast draws work to itself, since
/// it always looks idle; and a cold one, given its full share at once,
/// answers nothing in time. Without ejection a third of the callers may meet
/// the one broken upstream; without the check for room a fault that touches
/// all upstreams (a slow database behind them) ejects them one after the
/// other until the last one carries the whole load.
class upstream_health
{
public:
    /// Starts healthy.
    explicit upstream_health(std::uint32_t slots,
                             upstream_health_settings const& settings = {});
    ~upstream_health();
    upstream_health(upstream_health&& other) noexcept;
    upstream_health& operator=(upstream_health&& other) noexcept;

    /// Takes one event and returns the condition after it.
    upstream_condition reduce(health_event const& event, instant now);

    /// The condition now.
    upstream_condition condition() const;

    /// Slots that may be used in this condition, 0 to all.
    std::uint32_t usable_slots() const;

private:
    struct life_cycle;
    std::unique_ptr<life_cycle> cycle;
};

} // namespace bilberrylead::policy

#endif
