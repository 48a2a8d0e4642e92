#include "bilberrylead/policy/retry_time.hpp"

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/placement_settings.hpp"

#include <algorithm>

namespace bilberrylead::policy
{

duration retry_time(duration until_free_capacity,
                    placement_settings const& settings, generator& random)
{
    double const spread = settings.max_retry_factor - settings.min_retry_factor;
    return scaled(
        std::max(until_free_capacity, settings.min_time_until_capacity),
        settings.min_retry_factor + spread * random.unit());
}

duration retry_time_after_rest(duration until_end,
                               placement_settings const& settings,
                               generator& random)
{
    duration const wait = std::max(until_end, settings.min_time_until_capacity);
    return scaled(wait, 1 + settings.max_rest_retry_spread * random.unit());
}

} // namespace bilberrylead::policy
