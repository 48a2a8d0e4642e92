#ifndef BILBERRYLEAD_POLICY_RETRY_TIME_HPP
#define BILBERRYLEAD_POLICY_RETRY_TIME_HPP

#include "bilberrylead/core/time.hpp"

namespace bilberrylead::policy
{

class generator;
struct placement_settings;

/// The retry time for a refused caller when free capacity is expected after
/// `until_free_capacity`. It is random for each caller, so that callers do not
/// retry together.
duration retry_time(duration until_free_capacity,
                    placement_settings const& settings, generator& random);

/// The retry time for a caller that was refused because every upstream rests,
/// the first of them for `until_end`. The end is known, so that the time only
/// has to keep callers from retrying together.
duration retry_time_after_rest(duration until_end,
                               placement_settings const& settings,
                               generator& random);

} // namespace bilberrylead::policy

#endif
