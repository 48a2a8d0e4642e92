#ifndef BILBERRYLEAD_POLICY_REGION_PLAN_HPP
#define BILBERRYLEAD_POLICY_REGION_PLAN_HPP

#include "bilberrylead/policy/region_capacity.hpp"
#include "bilberrylead/policy/region_plan_settings.hpp"

#include <span>
#include <vector>

namespace bilberrylead::policy
{

/// For each region the share of its callers' requests that runs in each
/// region, in the order of `rooms`; every row adds up to 1.
///
/// Load it answers: room and callers do not lie in the same places. Without
/// a plan the callers of a region with few upstreams wait and are refused
/// while slots stand idle a region away; if every entry host went where it
/// is emptiest by itself, all of them would go to the same place at once.
///
/// While less is asked for than is expected at least, the rest is taken to
/// come from the regions' entry hosts, so that nobody waits for the bounded
/// pace to bring callers to where there is room.
///
/// Requests stay at home while there is room, since the way to another
/// region and back costs more than a short wait. What a region lacks is
/// spread over the others in proportion to what those can spare. If all of
/// them together lack room, each region's callers get the same part of what
/// they ask for: the rest is refused at home.
std::vector<std::vector<double>>
plan_regions(std::span<region_capacity const> regions,
             region_plan_settings const& settings = {});

} // namespace bilberrylead::policy

#endif
