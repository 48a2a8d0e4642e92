#include "bilberrylead/policy/retry_time.hpp"

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/placement_settings.hpp"

#include <algorithm>

namespace bilberrylead::policy
{

duration retry_time(duration until_free_capacity,
                    placement_settings const& settings, generator& random)
{
    double const spread = settings.latest_return - settings.soonest_return;
    return scaled(std::max(until_free_capacity, settings.least_retry_after),
                  settings.soonest_return + spread * random.unit());
}

} // namespace bilberrylead::policy
