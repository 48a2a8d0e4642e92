#include "bilberrylead/entry/service_state.hpp"

/// Scope of the home upstreams of objects.
namespace bilberrylead::entry
{

void service_state::count_home_upstreams(home_scope_status& status,
                                         instant now) const
{
    for (std::size_t index = 0; index < this->configured_upstreams.size();
         ++index)
    {
        configured_upstream const& each = this->configured_upstreams[index];
        if (each.in_own_region && this->is_open(index, now))
        {
            bool const in_own_zone =
                each.zone == policy::placement_candidate::own_zone;
            ++status.region_upstreams;
            status.zone_upstreams += in_own_zone ? 1 : 0;
        }
    }
}

home_scope_status service_state::home_scope_state(instant now) const
{
    home_scope_status status;
    if (this->homes.has_value())
    {
        status.scope = this->homes->current();
        status.distinct_objects = this->homes->distinct_objects(now);
        this->count_home_upstreams(status, now);
    }
    return status;
}

bool service_state::update_home_scope(instant now)
{
    if (!this->homes.has_value() || !this->homes->is_due(now))
    {
        return false;
    }
    home_scope_status status;
    this->count_home_upstreams(status, now);
    if (!this->homes->update(status.zone_upstreams, status.region_upstreams,
                             now))
    {
        return false;
    }
    // Objects would otherwise stay at their previous homes as well, since these
    // are known to have them cached: after a change to the region, 8 of 100
    // runs stayed cold in a region whose caches hold all objects.
    for (std::size_t index = 0; index < this->configured_upstreams.size();
         ++index)
    {
        if (this->configured_upstreams[index].in_own_region)
        {
            this->upstream_records[index]->objects = {};
        }
    }
    return true;
}

policy::placement_verdict
service_state::place_with_homes(policy::placement_request question,
                                bool is_first_attempt, instant now)
{
    question.homes = this->homes->current();
    question.required_zone_upstreams = this->homes->required_upstreams();
    policy::placement_verdict const verdict =
        this->placement.place(this->candidates, question, this->random);
    policy::placed const* const found = std::get_if<policy::placed>(&verdict);
    // Callers repeat what is refused, and a second attempt is for the same
    // object: both would count one request twice.
    if (found != nullptr && is_first_attempt &&
        this->configured_upstreams[found->index].in_own_region)
    {
        this->homes->record(question.object, now);
    }
    return verdict;
}

} // namespace bilberrylead::entry
