#ifndef BILBERRYLEAD_POLICY_SHIFT_PLANNER_HPP
#define BILBERRYLEAD_POLICY_SHIFT_PLANNER_HPP

#include "bilberrylead/policy/shift_planner_event.hpp"
#include "bilberrylead/policy/shift_planner_settings.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace bilberrylead::policy
{

/// Decides on the leader which region serves which share of whose callers.
///
/// Load it answers: a region that is short of slots, or lost. Without a
/// planner each caller's second choice is the same other region, which then
/// fails too. A step moves at most the cap of each region's callers, only
/// into room that is left under the largest use with moves under way
/// counted, and only over links with room. A lost region's callers for whom
/// nobody has room stay with it, and steering tells them "not run" with when
/// to come back.
///
/// The cap holds across a change of leader: a step is a whole that goes
/// through the replicated log, the next one starts from the committed one,
/// and a new leader waits a whole interval before its first, since it
/// cannot know when the last one was taken. A leader whose lease ran out
/// proposes nothing. A region without a fresh measurement neither gives nor
/// takes.
class shift_planner
{
public:
    /// Makes a planner; `link_capacity` holds for each pair of regions
    /// (from * regions + to) the slots' worth of callers that the link
    /// carries; 0 is no limit. Nearer regions come first in `nearest[from]`.
    shift_planner(std::size_t regions, std::vector<double> const& link_capacity,
                  std::vector<std::vector<std::size_t>> const& nearest,
                  shift_planner_settings const& settings = {});

    /// Takes one event; a step to propose, if there is one.
    std::optional<plan_step> reduce(shift_planner_event const& event,
                                    instant now);

    /// The shares in force, by the last committed step.
    traffic_shares const& shares() const
    {
        return this->last.shares;
    }

private:
    struct region_state
    {
        region_load load;
        instant measured_at;
        bool measured = false;
        bool lost = false;
    };

    std::optional<plan_step> plan(instant now);
    bool may_plan(instant now) const;
    bool fresh(std::size_t region, instant now) const;
    double worth(std::size_t region) const;
    double assigned(std::size_t region, traffic_shares const& shares) const;
    double carried(std::size_t from, std::size_t to,
                   traffic_shares const& shares) const;
    double room(std::size_t region, traffic_shares const& shares,
                instant now) const;
    void relieve(std::size_t region, traffic_shares& next, instant now) const;
    void bring_back(std::size_t from, traffic_shares& next, instant now) const;
    void move_into_room(std::size_t from, std::size_t source,
                        std::uint32_t amount, traffic_shares& next,
                        instant now) const;
    std::uint32_t cap_left(std::size_t from, traffic_shares const& next) const;

    shift_planner_settings settings;
    std::vector<double> link_capacity;
    std::vector<std::vector<std::size_t>> nearest;
    std::vector<region_state> regions;
    plan_step last;
    std::uint64_t term = 0;
    instant leads_until;
    instant next_step_at;
    bool waiting_for_commit = false;
};

} // namespace bilberrylead::policy

#endif
