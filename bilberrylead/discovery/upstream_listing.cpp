#include "bilberrylead/discovery/upstream_listing.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bilberrylead::discovery
{

namespace
{

/// Two readings of the same cold time differ by the duration of a call. Only a
/// larger difference counts as a change.
constexpr duration cold_tolerance = std::chrono::milliseconds(400);

bool differs(listed_upstream const& before, listed_upstream const& after,
             instant now)
{
    if (before.upstream != after.upstream)
    {
        return true;
    }
    // Cold times that have passed are equal: both upstreams are warm.
    instant const old_end = std::max(before.cold_until, now);
    instant const new_end = std::max(after.cold_until, now);
    return std::chrono::abs(new_end - old_end) > cold_tolerance;
}

reported_upstream to_reported(listed_upstream const& entry, instant now)
{
    return {entry.upstream, std::max(entry.cold_until - now, duration::zero())};
}

} // namespace

std::optional<list_changes>
upstream_listing::apply_reading(std::vector<listed_upstream> const& found,
                                std::uint64_t term, instant now)
{
    list_changes changes;
    std::map<upstream_id, listed_upstream> next;
    for (listed_upstream const& each : found)
    {
        next.insert_or_assign(each.upstream.id, each);
    }
    for (auto const& [id, entry] : next)
    {
        auto const existing = this->entries.find(id);
        if (existing == this->entries.end() ||
            differs(existing->second, entry, now))
        {
            changes.put.push_back(to_reported(entry, now));
        }
    }
    for (auto const& [id, entry] : this->entries)
    {
        if (!next.contains(id))
        {
            changes.removed.push_back(id);
        }
    }
    bool const same = changes.put.empty() && changes.removed.empty();
    if (same && this->current.term == term)
    {
        return std::nullopt;
    }
    this->entries = std::move(next);
    this->advance(changes, term);
    return changes;
}

std::optional<list_changes>
upstream_listing::apply_leaving(std::vector<listed_upstream> const& part,
                                std::uint64_t term, instant now)
{
    if (this->current.term != term)
    {
        return std::nullopt;
    }
    list_changes changes;
    for (listed_upstream const& each : part)
    {
        auto const existing = this->entries.find(each.upstream.id);
        if (each.upstream.leaving && existing != this->entries.end() &&
            !existing->second.upstream.leaving)
        {
            existing->second = each;
            changes.put.push_back(to_reported(each, now));
        }
    }
    if (changes.put.empty())
    {
        return std::nullopt;
    }
    this->advance(changes, term);
    return changes;
}

void upstream_listing::advance(list_changes& changes, std::uint64_t term)
{
    changes.base = this->current;
    changes.target = this->current.term == term
                         ? list_position{term, this->current.number + 1}
                         : list_position{term, 1};
    this->current = changes.target;
}

apply_result upstream_listing::apply(list_changes const& changes, instant now)
{
    if (changes.target <= this->current)
    {
        return apply_result::not_newer;
    }
    if (!changes.is_full && changes.base != this->current)
    {
        return apply_result::base_mismatch;
    }
    if (changes.is_full)
    {
        this->entries.clear();
    }
    for (upstream_id const& id : changes.removed)
    {
        this->entries.erase(id);
    }
    for (reported_upstream const& each : changes.put)
    {
        this->entries.insert_or_assign(
            each.upstream.id,
            listed_upstream{each.upstream, now + each.cold_remaining});
    }
    this->current = changes.target;
    return apply_result::applied;
}

list_changes upstream_listing::full_listing(instant now) const
{
    list_changes changes;
    changes.target = this->current;
    changes.is_full = true;
    changes.put.reserve(this->entries.size());
    for (auto const& [id, entry] : this->entries)
    {
        changes.put.push_back(to_reported(entry, now));
    }
    return changes;
}

} // namespace bilberrylead::discovery
