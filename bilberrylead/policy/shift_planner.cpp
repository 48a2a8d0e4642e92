#include "bilberrylead/policy/shift_planner.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bilberrylead::policy
{

namespace
{

/// Thousandths of `demand` that are worth `slots`, rounded down.
std::uint32_t thousandths(double slots, double demand)
{
    if (slots <= 0 || demand <= 0)
    {
        return 0;
    }
    double const part = std::floor(traffic_shares::whole * slots / demand);
    return static_cast<std::uint32_t>(
        std::min(part, double{traffic_shares::whole}));
}

} // namespace

shift_planner::shift_planner(
    std::size_t regions, std::vector<double> const& link_capacity,
    std::vector<std::vector<std::size_t>> const& nearest,
    shift_planner_settings const& settings)
    : settings(settings), link_capacity(link_capacity), nearest(nearest),
      regions(regions)
{
    assert(link_capacity.size() == regions * regions);
    assert(settings.return_use < settings.largest_use);
    this->last.shares = traffic_shares(regions);
}

std::optional<plan_step> shift_planner::reduce(shift_planner_event const& event,
                                               instant now)
{
    if (leadership_started const* const started =
            std::get_if<leadership_started>(&event))
    {
        this->term = started->term;
        this->leads_until = started->until;
        this->last = started->last;
        this->waiting_for_commit = false;
        // Nobody knows when the last step was taken: it may have been now.
        this->next_step_at = now + this->settings.interval;
    }
    else if (leadership_renewed const* const renewed =
                 std::get_if<leadership_renewed>(&event))
    {
        // A lease that ran out is not taken up again; that takes a new term.
        if (now < this->leads_until)
        {
            this->leads_until = std::max(this->leads_until, renewed->until);
        }
    }
    else if (step_committed const* const committed =
                 std::get_if<step_committed>(&event))
    {
        this->last = committed->step;
        this->waiting_for_commit = false;
        this->next_step_at = now + this->settings.interval;
    }
    else if (region_measured const* const measured =
                 std::get_if<region_measured>(&event))
    {
        this->regions.at(measured->region) = {measured->load, now, true, false};
    }
    else if (region_lost const* const lost = std::get_if<region_lost>(&event))
    {
        this->regions.at(lost->region).lost = true;
    }
    else
    {
        return this->plan(now);
    }
    return std::nullopt;
}

bool shift_planner::may_plan(instant now) const
{
    return this->term > 0 && now < this->leads_until &&
           now >= this->next_step_at && !this->waiting_for_commit;
}

std::optional<plan_step> shift_planner::plan(instant now)
{
    if (!this->may_plan(now))
    {
        return std::nullopt;
    }
    traffic_shares next = this->last.shares;
    for (std::size_t region = 0; region < this->regions.size(); ++region)
    {
        this->relieve(region, next, now);
    }
    for (std::size_t region = 0; region < this->regions.size(); ++region)
    {
        this->bring_back(region, next, now);
    }
    assert(this->last.shares.largest_change(next) <= this->settings.cap);
    if (next == this->last.shares)
    {
        return std::nullopt;
    }
    this->waiting_for_commit = true;
    return plan_step{this->term, this->last.number + 1, next,
                     this->settings.valid_for};
}

bool shift_planner::fresh(std::size_t region, instant now) const
{
    region_state const& state = this->regions[region];
    return state.measured &&
           now - state.measured_at < this->settings.measurement_lifetime;
}

double shift_planner::worth(std::size_t region) const
{
    region_state const& state = this->regions[region];
    if (state.lost)
    {
        return 0;
    }
    double const cold = state.load.cold_slots;
    return state.load.slots - cold * (1 - this->settings.cold_worth);
}

double shift_planner::assigned(std::size_t region,
                               traffic_shares const& shares) const
{
    double slots = 0;
    for (std::size_t from = 0; from < this->regions.size(); ++from)
    {
        slots += this->carried(from, region, shares);
    }
    return slots;
}

double shift_planner::carried(std::size_t from, std::size_t to,
                              traffic_shares const& shares) const
{
    return this->regions[from].load.demand * shares.at(from, to) /
           traffic_shares::whole;
}

double shift_planner::room(std::size_t region, traffic_shares const& shares,
                           instant now) const
{
    if (this->regions[region].lost || !this->fresh(region, now))
    {
        return 0;
    }
    // What is measured does not show the moves under way, and what is
    // assigned does not show what the region does besides: the larger one.
    region_load const& load = this->regions[region].load;
    double const before = this->assigned(region, this->last.shares);
    double const moves = this->assigned(region, shares) - before;
    double const used = std::max(load.in_use, before) + moves;
    return this->worth(region) * this->settings.largest_use - used;
}

std::uint32_t shift_planner::cap_left(std::size_t from,
                                      traffic_shares const& next) const
{
    std::uint32_t gained = 0;
    for (std::size_t to = 0; to < next.regions(); ++to)
    {
        std::uint32_t const before = this->last.shares.at(from, to);
        gained += next.at(from, to) - std::min(next.at(from, to), before);
    }
    return this->settings.cap - std::min(this->settings.cap, gained);
}

void shift_planner::move_into_room(std::size_t from, std::size_t source,
                                   std::uint32_t amount, traffic_shares& next,
                                   instant now) const
{
    std::uint32_t moved = 0;
    for (std::size_t const to : this->nearest[from])
    {
        if (to == source || to == from)
        {
            continue;
        }
        double free = this->room(to, next, now);
        double const link =
            this->link_capacity[from * this->regions.size() + to];
        if (link > 0)
        {
            free = std::min(free, link - this->carried(from, to, next));
        }
        std::uint32_t const fits =
            thousandths(free, this->regions[from].load.demand);
        moved += next.move(
            from, source, to,
            std::min({amount - moved, fits, this->cap_left(from, next)}));
    }
}

void shift_planner::relieve(std::size_t region, traffic_shares& next,
                            instant now) const
{
    bool const lost = this->regions[region].lost;
    if (!lost && !this->fresh(region, now))
    {
        return;
    }
    // Its own callers move first: they lose a region's distance; callers
    // that were moved here already did.
    double const over =
        lost ? this->assigned(region, next) : -this->room(region, next, now);
    std::uint32_t const wanted =
        lost ? traffic_shares::whole
             : thousandths(over, this->regions[region].load.demand);
    this->move_into_room(region, region, wanted, next, now);
    if (!lost)
    {
        return;
    }
    // Others' callers that it served; what has no room stays, and is told
    // "not run" by steering.
    for (std::size_t from = 0; from < this->regions.size(); ++from)
    {
        if (from != region)
        {
            this->move_into_room(from, region, traffic_shares::whole, next,
                                 now);
        }
    }
}

void shift_planner::bring_back(std::size_t from, traffic_shares& next,
                               instant now) const
{
    if (this->regions[from].lost || !this->fresh(from, now))
    {
        return;
    }
    // Up to the lower mark only, or they would be sent away again.
    double const margin = this->worth(from) * (this->settings.largest_use -
                                               this->settings.return_use);
    for (std::size_t to = 0; to < next.regions(); ++to)
    {
        if (to == from)
        {
            continue;
        }
        std::uint32_t const fits =
            thousandths(this->room(from, next, now) - margin,
                        this->regions[from].load.demand);
        next.move(from, to, from, std::min(fits, this->cap_left(from, next)));
    }
}

} // namespace bilberrylead::policy
