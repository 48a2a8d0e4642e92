#include "bilberrylead/policy/return_time.hpp"

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/placement_settings.hpp"

#include <algorithm>

namespace bilberrylead::policy
{

duration return_time(duration until_room, placement_settings const& settings,
                     generator& random)
{
    double const spread = settings.latest_return - settings.soonest_return;
    return scaled(std::max(until_room, settings.least_retry_after),
                  settings.soonest_return + spread * random.unit());
}

} // namespace bilberrylead::policy
