#include "bilberrylead/policy/crash_history.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <iterator>
#include <utility>

namespace bilberrylead::policy
{

namespace
{

/// Interval between searches for expired records.
constexpr duration expiry_interval = std::chrono::seconds(1);

} // namespace

crash_history::crash_history(crash_history_settings const& settings)
    : settings(settings)
{
    assert(settings.max_records > 0);
}

crash_verdict crash_history::verdict_of(crash_record const& record) const
{
    if (record.ended_upstreams.size() >= this->settings.crashes_to_refuse)
    {
        return crash_verdict::refused;
    }
    return record.ended_upstreams.size() >= this->settings.crashes_to_restrict
               ? crash_verdict::restricted
               : crash_verdict::unrestricted;
}

crash_verdict crash_history::verdict_of(std::uint64_t digest) const
{
    auto const found = this->entries.find(digest);
    return found == this->entries.end()
               ? crash_verdict::unrestricted
               : this->verdict_of(found->second.record);
}

crash_verdict crash_history::verdict_of_retry(std::uint64_t digest,
                                              std::size_t unresolved) const
{
    auto const found = this->entries.find(digest);
    std::size_t const ended = found == this->entries.end()
                                  ? 0
                                  : found->second.record.ended_upstreams.size();
    crash_verdict const verdict = this->verdict_of(digest);
    return verdict == crash_verdict::unrestricted &&
                   ended + unresolved >= this->settings.crashes_to_restrict
               ? crash_verdict::restricted
               : verdict;
}

crash_history::entry_map::const_iterator
crash_history::eviction_candidate() const
{
    return std::min_element(
        this->entries.begin(), this->entries.end(),
        [](auto const& left, auto const& right)
        {
            return std::pair(left.second.record.ended_upstreams.size(),
                             left.second.last_seen) <
                   std::pair(right.second.record.ended_upstreams.size(),
                             right.second.last_seen);
        });
}

/// A full history accepts only a record with more crashes than the one that
/// it evicts. Otherwise hosts would exchange evicted records for ever.
bool crash_history::accepts(crash_record const& received) const
{
    if (this->entries.contains(received.digest))
    {
        return true;
    }
    if (received.digest == 0 || received.ended_upstreams.empty())
    {
        return false;
    }
    return this->entries.size() < this->settings.max_records ||
           received.ended_upstreams.size() >
               this->eviction_candidate()->second.record.ended_upstreams.size();
}

crash_history::entry& crash_history::entry_of(std::uint64_t digest, instant now)
{
    auto const found = this->entries.find(digest);
    if (found != this->entries.end())
    {
        return found->second;
    }
    if (this->entries.size() >= this->settings.max_records)
    {
        this->entries.erase(this->eviction_candidate());
        ++this->evictions;
    }
    return this->entries.emplace(digest, entry{{digest, 0, {}}, now})
        .first->second;
}

std::optional<crash_record>
crash_history::record_crash(std::uint64_t digest, upstream_id const& upstream,
                            instant sent, instant now)
{
    entry& held = this->entry_of(digest, now);
    auto const known = held.known_at.find(upstream);
    bool const is_known = known != held.known_at.end() && sent <= known->second;
    if (is_known ||
        held.record.ended_upstreams.size() >= this->settings.crashes_to_refuse)
    {
        return std::nullopt;
    }
    held.record.ended_upstreams.insert(upstream);
    held.known_at[upstream] = now;
    held.last_seen = now;
    return held.record;
}

void crash_history::replace(entry& held, crash_record record, instant now)
{
    std::erase_if(held.known_at,
                  [&record](auto const& each)
                  {
                      return !record.ended_upstreams.contains(each.first);
                  });
    for (upstream_id const& each : record.ended_upstreams)
    {
        bool const is_new = record.ended_upstreams.count(each) >
                            held.record.ended_upstreams.count(each);
        if (is_new || record.generation != held.record.generation)
        {
            held.known_at[each] = now;
        }
    }
    held.record = std::move(record);
    held.last_seen = now;
}

std::optional<crash_record> crash_history::clear(std::uint64_t digest,
                                                 instant now)
{
    auto const found = this->entries.find(digest);
    if (found == this->entries.end() ||
        found->second.record.ended_upstreams.empty())
    {
        return std::nullopt;
    }
    entry& held = found->second;
    ++held.record.generation;
    held.record.ended_upstreams.clear();
    held.known_at.clear();
    held.last_seen = now;
    return held.record;
}

void crash_history::record_repeat(std::uint64_t digest, instant now)
{
    auto const found = this->entries.find(digest);
    if (found != this->entries.end())
    {
        found->second.last_seen = now;
    }
}

crash_merge crash_history::merge(std::vector<crash_record> const& records,
                                 instant now)
{
    crash_merge result;
    for (crash_record const& received : records)
    {
        if (!this->accepts(received))
        {
            continue;
        }
        entry& held = this->entry_of(received.digest, now);
        crash_record merged = held.record;
        if (received.generation > merged.generation)
        {
            merged = received;
        }
        else if (received.generation == merged.generation)
        {
            // Several hosts see the same end, so the larger count is taken.
            merged.ended_upstreams.clear();
            std::set_union(held.record.ended_upstreams.begin(),
                           held.record.ended_upstreams.end(),
                           received.ended_upstreams.begin(),
                           received.ended_upstreams.end(),
                           std::inserter(merged.ended_upstreams,
                                         merged.ended_upstreams.end()));
        }
        // Every host keeps the same upstreams, so that the records converge.
        while (merged.ended_upstreams.size() > this->settings.crashes_to_refuse)
        {
            merged.ended_upstreams.erase(
                std::prev(merged.ended_upstreams.end()));
        }
        if (merged != received)
        {
            result.missing_at_sender.push_back(merged);
        }
        if (merged != held.record)
        {
            replace(held, std::move(merged), now);
            result.changed.push_back(held.record);
        }
    }
    return result;
}

void crash_history::expire(instant now)
{
    if (now - this->last_expiry_at < expiry_interval)
    {
        return;
    }
    this->last_expiry_at = now;
    std::erase_if(this->entries,
                  [this, now](auto const& each)
                  {
                      bool const is_refused =
                          this->verdict_of(each.second.record) ==
                          crash_verdict::refused;
                      return now - each.second.last_seen >=
                             (is_refused ? this->settings.refused_retention
                                         : this->settings.suspect_retention);
                  });
}

std::vector<crash_record> crash_history::records() const
{
    std::vector<crash_record> records;
    records.reserve(this->entries.size());
    for (auto const& [digest, held] : this->entries)
    {
        records.push_back(held.record);
    }
    return records;
}

std::size_t crash_history::refused_count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [this](auto const& each)
                      {
                          return this->verdict_of(each.second.record) ==
                                 crash_verdict::refused;
                      }));
}

} // namespace bilberrylead::policy
