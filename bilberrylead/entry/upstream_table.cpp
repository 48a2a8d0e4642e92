#include "bilberrylead/entry/upstream_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bilberrylead::entry
{

upstream_table::upstream_table(zone_id own_zone) : zone(std::move(own_zone))
{
}

void upstream_table::take_slot(upstream_id const& id)
{
    ++this->states[id].in_flight;
    ++this->taken;
}

void upstream_table::free_slot(upstream_id const& id)
{
    upstream_state& state = this->states[id];
    assert(state.in_flight > 0 && this->taken > 0);
    --state.in_flight;
    --this->taken;
}

void upstream_table::shun(upstream_id const& id, instant until)
{
    upstream_state& state = this->states[id];
    state.shunned_until = std::max(state.shunned_until, until);
}

void upstream_table::note_leaving(upstream_id const& id, instant until)
{
    this->states[id].leaving_until = until;
}

bool upstream_table::takes_work(config::upstream const& upstream,
                                instant now) const
{
    if (upstream.leaving)
    {
        return false;
    }
    auto const found = this->states.find(upstream.id);
    return found == this->states.end() || found->second.leaving_until <= now;
}

config::upstream const*
upstream_table::choose(std::vector<config::upstream const*> const& reachable,
                       std::vector<upstream_id> const& tried, instant now)
{
    this->candidates.clear();
    this->offered.clear();
    for (config::upstream const* upstream : reachable)
    {
        bool const was_tried =
            std::find(tried.begin(), tried.end(), upstream->id) != tried.end();
        if (was_tried || !this->takes_work(*upstream, now))
        {
            continue;
        }
        upstream_state const& state = this->states[upstream->id];
        this->candidates.push_back({state.in_flight, upstream->slots,
                                    upstream->zone == this->zone,
                                    state.shunned_until > now});
        this->offered.push_back(upstream);
    }
    std::optional<std::size_t> const chosen =
        this->choice.choose(this->candidates);
    return chosen.has_value() ? this->offered[*chosen] : nullptr;
}

} // namespace bilberrylead::entry
