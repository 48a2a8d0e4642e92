#ifndef BILBERRYLEAD_POLICY_SHIFT_PLANNER_EVENT_HPP
#define BILBERRYLEAD_POLICY_SHIFT_PLANNER_EVENT_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/plan_step.hpp"
#include "bilberrylead/policy/region_load.hpp"

#include <cstddef>
#include <cstdint>
#include <variant>

namespace bilberrylead::policy
{

/// This process leads from now on.
struct leadership_started
{
    /// The term.
    std::uint64_t term = 0;
    /// When its lease ends unless it is renewed, by its own clock.
    instant until;
    /// The last step that was committed, in any term.
    plan_step last;
};

/// The leader's lease lasts longer.
struct leadership_renewed
{
    /// Its new end.
    instant until;
};

/// The step that was proposed is committed.
struct step_committed
{
    /// The step.
    plan_step step;
};

/// A region's measurement came in.
struct region_measured
{
    /// The region, by its place in the configuration.
    std::size_t region = 0;
    /// What was measured.
    region_load load;
};

/// A region is lost: nobody there answers, and an operator or a quorum says
/// so. Silence of the measurements alone is not this.
struct region_lost
{
    /// The region.
    std::size_t region = 0;
};

/// Time went by; at least every second.
struct planning_due
{
};

/// What a shift_planner reduces.
using shift_planner_event =
    std::variant<leadership_started, leadership_renewed, step_committed,
                 region_measured, region_lost, planning_due>;

} // namespace bilberrylead::policy

#endif
