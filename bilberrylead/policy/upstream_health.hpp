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

/// The upstream gave a complete answer in time.
struct upstream_answered
{
};

/// A request to the upstream failed: a connection failure, a time-out or an
/// invalid answer. An upstream's explicit "not run" answer is not a failure.
struct upstream_failed
{
    /// True if the other upstreams have enough free capacity to carry the load
    /// without this one. See may_eject.
    bool others_have_capacity = true;
};

/// Time has passed: ends the ejection once the ejection time is over. Sent
/// before each choice, or on a timer.
struct health_timer_elapsed
{
};

/// The load needs every slot: an ejected upstream is tried again at once.
struct capacity_exhausted
{
};

/// The upstream was started or added to the configuration.
struct upstream_started
{
};

/// The events of an upstream's health.
using health_event =
    std::variant<upstream_answered, upstream_failed, health_timer_elapsed,
                 capacity_exhausted, upstream_started>;

/// True if an upstream with `slots` slots can be ejected while `usable` slots
/// (including its own) carry `in_use` requests on average. A tenth of the
/// remaining slots must stay free: ejection down to the last slot turns a fault
/// of one upstream into a queue for all callers.
bool may_eject(std::uint32_t slots, std::uint32_t usable, double in_use);

/// State machine of one upstream's health: healthy, suspected, ejected,
/// probing, and healthy again.
///
/// Load it handles: an upstream that fails fast attracts requests, since it
/// always looks idle; and a cold upstream that receives its full share at once
/// answers nothing in time. Without ejection, a third of the callers may be
/// sent to the one broken upstream. Without the check for free capacity, a
/// fault that affects all upstreams (such as a slow database behind them)
/// ejects them one after the other until the last one carries the whole load.
class upstream_health
{
public:
    /// Starts healthy, with `slots` slots (over 0).
    explicit upstream_health(std::uint32_t slots,
                             upstream_health_settings const& settings = {});
    ~upstream_health();
    upstream_health(upstream_health&& other) noexcept;
    upstream_health& operator=(upstream_health&& other) noexcept;

    /// Processes one event and returns the resulting condition.
    upstream_condition reduce(health_event const& event, instant now);

    /// The current condition.
    upstream_condition condition() const;

    /// Slots that may be used in the current condition, 0 to all.
    std::uint32_t usable_slots() const;

private:
    struct life_cycle;
    std::unique_ptr<life_cycle> cycle;
};

} // namespace bilberrylead::policy

#endif
