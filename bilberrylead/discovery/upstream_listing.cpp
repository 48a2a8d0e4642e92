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

/// Whole readings without an upstream after which it had ended: an entry that
/// moves to an earlier page may be missed once.
constexpr unsigned min_absences = 2;

/// How long it is known what was listed of an upstream that is not any more.
constexpr duration departed_retention = std::chrono::minutes(10);

/// True if the entries are of two incarnations, as far as they tell.
bool is_restarted(listed_upstream const& before, listed_upstream const& after)
{
    if (before.started_at.has_value() && after.started_at.has_value())
    {
        return before.started_at != after.started_at;
    }
    return (before.upstream.leaving && !after.upstream.leaving) ||
           before.upstream.address != after.upstream.address ||
           before.upstream.service != after.upstream.service;
}

bool differs(listed_upstream const& before, listed_upstream const& after,
             instant now)
{
    if (before.upstream != after.upstream ||
        before.incarnation != after.incarnation ||
        before.started_at != after.started_at)
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
    return {entry.upstream, std::max(entry.cold_until - now, duration::zero()),
            entry.started_at, entry.incarnation};
}

} // namespace

std::optional<list_changes>
upstream_listing::apply_reading(std::vector<listed_upstream> const& found,
                                std::uint64_t term, instant now, bool is_whole)
{
    list_changes changes;
    list_position const position = this->next_position(term);
    std::map<upstream_id, listed_upstream> next;
    for (listed_upstream const& each : found)
    {
        listed_upstream& entry =
            next.insert_or_assign(each.upstream.id, each).first->second;
        entry.incarnation = this->incarnation_of(each, position);
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
            this->depart(id, entry, now);
        }
    }
    for (auto const& [id, entry] : next)
    {
        this->departed.erase(id);
    }
    this->record_departures(now, is_whole);
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
    list_position const position = this->next_position(term);
    for (listed_upstream const& each : part)
    {
        auto const existing = this->entries.find(each.upstream.id);
        if (each.upstream.leaving && existing != this->entries.end() &&
            !existing->second.upstream.leaving)
        {
            list_position const incarnation =
                this->incarnation_of(each, position);
            existing->second = each;
            existing->second.incarnation = incarnation;
            changes.put.push_back(to_reported(existing->second, now));
        }
    }
    if (changes.put.empty())
    {
        return std::nullopt;
    }
    this->advance(changes, term);
    return changes;
}

list_position upstream_listing::next_position(std::uint64_t term) const
{
    return this->current.term == term
               ? list_position{term, this->current.number + 1}
               : list_position{term, 1};
}

/// The incarnation of an upstream in the listing that will have the position
/// `next`.
list_position upstream_listing::incarnation_of(listed_upstream const& found,
                                               list_position next) const
{
    if (this->current == list_position{})
    {
        // Without an earlier listing nothing tells when it started. To take all
        // upstreams for new would discard what other processes know of them.
        return {};
    }
    auto const listed = this->entries.find(found.upstream.id);
    if (listed != this->entries.end())
    {
        return is_restarted(listed->second, found) ? next
                                                   : listed->second.incarnation;
    }
    auto const gone = this->departed.find(found.upstream.id);
    if (gone == this->departed.end())
    {
        return next;
    }
    listed_upstream const& last = gone->second.last;
    bool const is_same_start =
        last.started_at.has_value() && last.started_at == found.started_at;
    bool const was_away =
        gone->second.readings >= min_absences && !is_same_start;
    return was_away || is_restarted(last, found) ? next : last.incarnation;
}

void upstream_listing::depart(upstream_id const& id,
                              listed_upstream const& last, instant now)
{
    this->departed.insert_or_assign(id, departed_upstream{last, now, 0});
}

void upstream_listing::record_departures(instant now, bool is_whole)
{
    std::erase_if(this->departed,
                  [now](auto const& each)
                  {
                      return now - each.second.since >= departed_retention;
                  });
    for (auto& [id, each] : this->departed)
    {
        each.readings += is_whole ? 1U : 0U;
    }
}

void upstream_listing::advance(list_changes& changes, std::uint64_t term)
{
    changes.base = this->current;
    changes.target = this->next_position(term);
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
    std::map<upstream_id, listed_upstream> replaced;
    if (changes.is_full)
    {
        std::swap(replaced, this->entries);
    }
    for (upstream_id const& id : changes.removed)
    {
        auto const found = this->entries.find(id);
        if (found != this->entries.end())
        {
            this->depart(id, found->second, now);
            this->entries.erase(found);
        }
    }
    for (reported_upstream const& each : changes.put)
    {
        this->departed.erase(each.upstream.id);
        this->entries.insert_or_assign(
            each.upstream.id,
            listed_upstream{each.upstream, now + each.cold_remaining,
                            each.started_at, each.incarnation});
    }
    for (auto const& [id, entry] : replaced)
    {
        if (!this->entries.contains(id))
        {
            this->depart(id, entry, now);
        }
    }
    this->record_departures(now, false);
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
