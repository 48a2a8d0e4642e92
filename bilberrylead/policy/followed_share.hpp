#ifndef BILBERRYLEAD_POLICY_FOLLOWED_SHARE_HPP
#define BILBERRYLEAD_POLICY_FOLLOWED_SHARE_HPP

#include "bilberrylead/core/time.hpp"

#include <algorithm>
#include <chrono>

namespace bilberrylead::policy
{

/// A share that approaches its target at a bounded rate, and the selection of
/// that share of the requests. The selection is spread evenly rather than
/// drawn, so that a host with a few requests a second meets the share too.
class followed_share
{
public:
    /// Starts at 1, all requests admitted. `credit`, 0 to 1, is the phase of
    /// the selection: hosts with different phases do not refuse together.
    followed_share(double credit, instant now)
        : changed_at(now), selection_credit(credit)
    {
    }

    /// Sets the share to approach, 0 to 1.
    void set_target(double share, double max_change_per_s, instant now)
    {
        this->value = this->at(now, max_change_per_s);
        this->changed_at = now;
        this->target = share;
    }

    /// The share at a time.
    double at(instant now, double max_change_per_s) const
    {
        std::chrono::duration<double> const elapsed =
            std::max(now - this->changed_at, duration::zero());
        double const step = max_change_per_s * elapsed.count();
        return std::clamp(this->target, this->value - step, this->value + step);
    }

    /// True if the share has reached its target.
    bool is_settled(instant now, double max_change_per_s) const
    {
        return this->at(now, max_change_per_s) == this->target;
    }

    /// Decides whether the next request is within the share.
    void select_next(double share)
    {
        // Shares such as 0.2 are not exact in binary; without the margin one
        // request in many would be refused too late.
        constexpr double rounding_margin = 1e-9;
        this->selection_credit = std::min(this->selection_credit + share, 2.0);
        this->selected = this->selection_credit >= 1 - rounding_margin;
        if (this->selected)
        {
            this->selection_credit -= 1;
        }
    }

    /// True if the last request was within the share.
    bool is_selected() const
    {
        return this->selected;
    }

    /// True if the current plan contains the share; otherwise it is kept only
    /// until it has reached its target.
    bool contained = true;

private:
    double value = 1;
    double target = 1;
    instant changed_at;
    double selection_credit;
    bool selected = true;
};

} // namespace bilberrylead::policy

#endif
