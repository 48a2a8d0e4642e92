#include "bilberrylead/policy/upstream_rest.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <limits>

namespace bilberrylead::policy
{

upstream_rest::upstream_rest(upstream_rest_settings const& settings)
    : settings(settings)
{
}

bool upstream_rest::request(duration time, instant now, generator& random)
{
    duration const rest = std::min(time, this->settings.max_rest);
    if (rest <= duration::zero() || now + rest <= this->end)
    {
        return false;
    }
    duration const max_extension =
        std::min(scaled(rest, this->settings.max_extension_share),
                 this->settings.max_extension);
    this->end = now + rest + scaled(max_extension, random.unit());
    this->ramp = 1;
    return true;
}

duration upstream_rest::remaining(instant now) const
{
    return std::max(this->end - now, duration::zero());
}

std::uint32_t upstream_rest::max_in_flight(instant now) const
{
    if (this->is_resting(now))
    {
        return 0;
    }
    return this->ramp == 0 ? std::numeric_limits<std::uint32_t>::max()
                           : this->ramp;
}

void upstream_rest::record_answer(std::uint32_t slots, instant now)
{
    if (this->ramp == 0 || this->is_resting(now))
    {
        return;
    }
    ++this->ramp;
    if (this->ramp > slots)
    {
        this->ramp = 0;
    }
}

} // namespace bilberrylead::policy
