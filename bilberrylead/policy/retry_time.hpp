#ifndef BILBERRYLEAD_POLICY_RETRY_TIME_HPP
#define BILBERRYLEAD_POLICY_RETRY_TIME_HPP

#include "bilberrylead/core/time.hpp"

namespace bilberrylead::policy
{

class generator;
struct placement_settings;

/// When a caller that is refused is told to come back, if room is expected
/// in `until_room`: each draws its own time, so that they do not come back
/// together.
duration retry_time(duration until_free_capacity,
                    placement_settings const& settings, generator& random);

} // namespace bilberrylead::policy

#endif
