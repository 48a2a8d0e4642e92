#include "bilberrylead/discovery/upstream_listing.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <utility>

namespace bilberrylead::discovery
{

namespace
{

/// Two readings of the same cold time differ by the duration of a call. Only a
/// larger difference counts as a change.
constexpr duration cold_tolerance = std::chrono::milliseconds(400);

/// Number of listings back to which differences are known: several seconds
/// while the list changes with each reading.
constexpr std::size_t max_recent_changes = 32;

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
    this->record_change(changes);
    this->current = changes.target;
}

void upstream_listing::record_change(list_changes const& changes)
{
    if (changes.is_full)
    {
        this->recent.clear();
        return;
    }
    recent_change change{changes.base, changes.removed};
    for (reported_upstream const& each : changes.put)
    {
        change.upstreams.push_back(each.upstream.id);
    }
    this->recent.push_back(std::move(change));
    if (this->recent.size() > max_recent_changes)
    {
        this->recent.pop_front();
    }
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
    this->record_change(changes);
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

list_changes upstream_listing::changes_since(list_position held,
                                             instant now) const
{
    auto const first = std::find_if(this->recent.begin(), this->recent.end(),
                                    [held](recent_change const& each)
                                    {
                                        return each.base == held;
                                    });
    std::set<upstream_id> changed;
    for (auto each = first; each != this->recent.end(); ++each)
    {
        changed.insert(each->upstreams.begin(), each->upstreams.end());
    }
    if (first == this->recent.end() || changed.size() >= this->entries.size())
    {
        return this->full_listing(now);
    }
    list_changes changes;
    changes.base = held;
    changes.target = this->current;
    for (upstream_id const& id : changed)
    {
        auto const found = this->entries.find(id);
        if (found == this->entries.end())
        {
            changes.removed.push_back(id);
            continue;
        }
        changes.put.push_back(to_reported(found->second, now));
    }
    return changes;
}

} // namespace bilberrylead::discovery
