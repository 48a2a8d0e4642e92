#include "bilberrylead/entry/service_state.hpp"

#include <algorithm>

/// Upstreams that asked for a rest or announced that they are leaving.
namespace bilberrylead::entry
{

bool service_state::record_rest(upstream_incarnation const& from, duration time,
                                instant now)
{
    return this->record_of(from).rest.request(time, now, this->random);
}

duration service_state::rest_remaining(upstream_id const& id, instant now)
{
    return this->record_of(id).rest.remaining(now);
}

std::optional<duration>
service_state::time_to_end_of_rest(reach const& reachable, instant now) const
{
    std::optional<duration> shortest;
    for (std::size_t index = 0; index < this->configured_upstreams.size();
         ++index)
    {
        if (!this->is_reachable(reachable, index) ||
            !this->is_in_service(index, now) || !this->is_held_back(index, now))
        {
            continue;
        }
        policy::upstream_rest const& rest = this->upstream_records[index]->rest;
        // After the rest the upstream accepts more requests with its answers.
        duration const wait =
            rest.is_resting(now) ? rest.remaining(now) : this->usual_run();
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest;
}

std::size_t service_state::resting_upstreams(instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->upstream_records.begin(), this->upstream_records.end(),
        [now](upstream_record const* record)
        {
            return record->rest.is_resting(now);
        }));
}

std::size_t service_state::leaving_upstreams(instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->upstream_records.begin(), this->upstream_records.end(),
        [now](upstream_record const* record)
        {
            return record->leaving_until > now;
        }));
}

} // namespace bilberrylead::entry
