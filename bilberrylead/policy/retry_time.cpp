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

} // namespace bilberrylead::policy
