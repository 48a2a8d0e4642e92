#include "bilberrylead/policy/plan_follower.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::policy
{

plan_follower::plan_follower(traffic_shares const& shares,
                             shift_planner_settings const& settings)
    : settings(settings), shares(shares)
{
    assert(settings.cap <= traffic_shares::whole);
}

step_verdict plan_follower::take(plan_step const& step, instant asked_at,
                                 instant now)
{
    if (step.term < this->newest_term)
    {
        return step_verdict::old_term;
    }
    this->newest_term = step.term;
    if (this->followed.has_value() && step.number <= this->followed->number)
    {
        return step_verdict::old_number;
    }
    if (now >= asked_at + step.valid_for)
    {
        return step_verdict::expired;
    }
    this->followed = step;
    this->expires = asked_at + step.valid_for;
    this->advance(now);
    return step_verdict::taken;
}

bool plan_follower::advance(instant now)
{
    // After its time the step may contradict a later one that this host did
    // not get: hold what is applied.
    if (!this->followed.has_value() || now >= this->expires ||
        this->followed->shares == this->shares)
    {
        return false;
    }
    if (this->moved_at.has_value() &&
        now - *this->moved_at < this->settings.interval)
    {
        return false;
    }
    this->shares.approach(this->followed->shares, this->settings.cap);
    this->moved_at = now;
    return true;
}

} // namespace bilberrylead::policy
