#ifndef BILBERRYLEAD_POLICY_PLAN_FOLLOWER_HPP
#define BILBERRYLEAD_POLICY_PLAN_FOLLOWER_HPP

#include "bilberrylead/policy/plan_step.hpp"
#include "bilberrylead/policy/shift_planner_settings.hpp"

#include <cstdint>
#include <optional>

namespace bilberrylead::policy
{

/// What became of a step at an entry host.
enum class step_verdict : std::uint8_t
{
    /// It is followed from now on.
    taken,
    /// A step of a later term was seen: its sender leads no longer.
    old_term,
    /// This step or a later one is followed already.
    old_number,
    /// It came too long after it was asked for.
    expired,
};

/// Applies plan steps on one entry host.
///
/// What goes wrong without it: a host that missed ten steps takes the
/// eleventh at once and moves ten caps' worth; a leader that was frozen
/// thaws and its old step moves callers back; a host in a cut-off zone
/// takes a step that the others have left behind. Here a host itself moves
/// at most the cap per interval by its own clock, whatever it is sent, so
/// the cap holds for the sum over all hosts, and a step that is old by term,
/// number or age changes nothing.
class plan_follower
{
public:
    /// Starts from shares that are in force (of a neighbour, or the first).
    plan_follower(traffic_shares const& shares,
                  shift_planner_settings const& settings = {});

    /// Takes a step that was asked for at `asked_at`.
    step_verdict take(plan_step const& step, instant asked_at, instant now);

    /// Moves on towards the step that is followed; call every second. True
    /// if the applied shares changed.
    bool advance(instant now);

    /// The shares that this host sends callers by.
    traffic_shares const& applied() const
    {
        return this->shares;
    }

private:
    shift_planner_settings settings;
    traffic_shares shares;
    std::optional<plan_step> followed;
    instant expires;
    std::optional<instant> moved_at;
    std::uint64_t newest_term = 0;
};

} // namespace bilberrylead::policy

#endif
