#include "bilberrylead/policy/home_scope.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bilberrylead::policy
{

using config::object_homes;

home_scope::home_scope(std::uint32_t remembered_objects,
                       home_scope_settings const& settings)
    : settings(settings), remembered(remembered_objects)
{
    assert(remembered_objects > 0);
}

void home_scope::record(std::uint64_t object, instant now)
{
    this->first_request_at = this->first_request_at.value_or(now);
    this->objects.record(object, now);
}

bool home_scope::update(std::size_t zone_upstreams,
                        std::size_t region_upstreams, instant now)
{
    bool const zone_is_lost = zone_upstreams == 0 && region_upstreams > 0;
    if (!zone_is_lost && !this->is_due(now))
    {
        return false;
    }
    this->decided_at = now;
    object_homes const decided =
        zone_is_lost ? object_homes::region : this->decide(zone_upstreams, now);
    if (decided == this->scope)
    {
        return false;
    }
    this->scope = decided;
    this->changed_at = now;
    this->other_since.reset();
    return true;
}

object_homes home_scope::decide(std::size_t zone_upstreams, instant now)
{
    object_estimate const found = this->objects.estimate(now);
    if (found.requests < this->settings.min_requests ||
        now - *this->first_request_at < this->settings.min_observation)
    {
        return this->scope;
    }
    this->required =
        static_cast<std::uint32_t>(std::ceil(found.count / this->remembered));
    double const cached =
        static_cast<double>(zone_upstreams) * this->remembered;
    double const margin = this->settings.clear_errors * found.error;
    bool const is_zone = this->scope == object_homes::zone;
    bool const is_well_founded =
        static_cast<double>(found.requests) >=
        std::min(found.count, this->settings.well_founded_requests);
    bool const exceeds =
        found.count - margin > this->settings.clear_region_share * cached;
    bool const fits_clearly =
        is_well_founded &&
        found.count + margin <= this->settings.clear_zone_share * cached;
    bool const is_clear = is_zone ? exceeds : fits_clearly;
    bool const fits = found.count <= this->settings.middle_share * cached;
    if (fits == is_zone)
    {
        this->other_since.reset();
    }
    else
    {
        this->other_since = this->other_since.value_or(now);
    }
    bool const is_confirmed =
        this->other_since.has_value() &&
        now - *this->other_since >= this->settings.confirmation;
    bool const may_change =
        !this->changed_at.has_value() ||
        now - *this->changed_at >= this->settings.min_time_between_changes;
    if (!may_change || (!is_clear && !is_confirmed))
    {
        return this->scope;
    }
    return is_zone ? object_homes::region : object_homes::zone;
}

} // namespace bilberrylead::policy
