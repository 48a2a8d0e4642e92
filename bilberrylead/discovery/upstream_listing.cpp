#include "bilberrylead/discovery/upstream_listing.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bilberrylead::discovery
{

namespace
{

/// Two readings of one cold time differ by the time that a call takes; only
/// a larger difference is news.
constexpr duration cold_grain = std::chrono::milliseconds(400);

bool is_news(listed_upstream const& before, listed_upstream const& after,
             instant now)
{
    if (before.upstream != after.upstream)
    {
        return true;
    }
    // A warm one that stays warm says nothing, whenever it became so.
    instant const old_end = std::max(before.cold_until, now);
    instant const new_end = std::max(after.cold_until, now);
    return std::chrono::abs(new_end - old_end) > cold_grain;
}

told_upstream tell(listed_upstream const& entry, instant now)
{
    return {entry.upstream, std::max(entry.cold_until - now, duration::zero())};
}

} // namespace

std::optional<list_changes>
upstream_listing::read(std::vector<listed_upstream> const& found,
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
        auto const known = this->entries.find(id);
        if (known == this->entries.end() || is_news(known->second, entry, now))
        {
            changes.put.push_back(tell(entry, now));
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
    if (same && this->held.term == term)
    {
        return std::nullopt;
    }
    this->entries = std::move(next);
    this->advance(changes, term);
    return changes;
}

std::optional<list_changes>
upstream_listing::read_leaving(std::vector<listed_upstream> const& part,
                               std::uint64_t term, instant now)
{
    if (this->held.term != term)
    {
        return std::nullopt;
    }
    list_changes changes;
    for (listed_upstream const& each : part)
    {
        auto const known = this->entries.find(each.upstream.id);
        if (each.upstream.leaving && known != this->entries.end() &&
            !known->second.upstream.leaving)
        {
            known->second = each;
            changes.put.push_back(tell(each, now));
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
    changes.base = this->held;
    changes.target = this->held.term == term
                         ? list_position{term, this->held.number + 1}
                         : list_position{term, 1};
    this->held = changes.target;
}

take_result upstream_listing::take(list_changes const& told, instant now)
{
    if (told.target <= this->held)
    {
        return take_result::not_newer;
    }
    if (!told.whole && told.base != this->held)
    {
        return take_result::other_base;
    }
    if (told.whole)
    {
        this->entries.clear();
    }
    for (upstream_id const& id : told.removed)
    {
        this->entries.erase(id);
    }
    for (told_upstream const& each : told.put)
    {
        this->entries.insert_or_assign(
            each.upstream.id,
            listed_upstream{each.upstream, now + each.cold_left});
    }
    this->held = told.target;
    return take_result::taken;
}

list_changes upstream_listing::whole(instant now) const
{
    list_changes changes;
    changes.target = this->held;
    changes.whole = true;
    changes.put.reserve(this->entries.size());
    for (auto const& [id, entry] : this->entries)
    {
        changes.put.push_back(tell(entry, now));
    }
    return changes;
}

} // namespace bilberrylead::discovery
