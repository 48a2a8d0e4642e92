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

/// How often old records are looked for.
constexpr duration expiry_interval = std::chrono::seconds(1);

} // namespace

crash_history::crash_history(crash_history_settings const& chosen)
    : settings(chosen)
{
    assert(chosen.most_records > 0);
}

crash_verdict crash_history::verdict_of(crash_record const& record) const
{
    if (record.ended.size() >= this->settings.crashes_to_refuse)
    {
        return crash_verdict::refused;
    }
    return record.ended.size() >= this->settings.crashes_to_restrict
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

crash_history::entry_map::const_iterator crash_history::least() const
{
    return std::min_element(this->entries.begin(), this->entries.end(),
                            [](auto const& one, auto const& other)
                            {
                                return std::pair(one.second.record.ended.size(),
                                                 one.second.last_seen) <
                                       std::pair(
                                           other.second.record.ended.size(),
                                           other.second.last_seen);
                            });
}

/// A host that is full takes only records that count for more than what they
/// evict: hosts would else hand evicted records round for ever.
bool crash_history::admits(crash_record const& said) const
{
    if (this->entries.contains(said.digest))
    {
        return true;
    }
    if (said.digest == 0 || said.ended.empty())
    {
        return false;
    }
    return this->entries.size() < this->settings.most_records ||
           said.ended.size() > this->least()->second.record.ended.size();
}

crash_history::entry& crash_history::entry_of(std::uint64_t digest, instant now)
{
    auto const found = this->entries.find(digest);
    if (found != this->entries.end())
    {
        return found->second;
    }
    if (this->entries.size() >= this->settings.most_records)
    {
        this->entries.erase(this->least());
        ++this->evictions;
    }
    return this->entries.emplace(digest, entry{{digest, 0, {}}, now})
        .first->second;
}

std::optional<crash_record>
crash_history::note_crash(std::uint64_t digest, upstream_id const& upstream,
                          instant now)
{
    entry& known = this->entry_of(digest, now);
    if (known.record.ended.size() >= this->settings.crashes_to_refuse ||
        !known.record.ended.insert(upstream).second)
    {
        return std::nullopt;
    }
    known.last_seen = now;
    return known.record;
}

std::optional<crash_record> crash_history::clear(std::uint64_t digest,
                                                 instant now)
{
    auto const found = this->entries.find(digest);
    if (found == this->entries.end() || found->second.record.ended.empty())
    {
        return std::nullopt;
    }
    entry& known = found->second;
    ++known.record.generation;
    known.record.ended.clear();
    known.last_seen = now;
    return known.record;
}

void crash_history::note_repeat(std::uint64_t digest, instant now)
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
    for (crash_record const& said : records)
    {
        if (!this->admits(said))
        {
            continue;
        }
        entry& known = this->entry_of(said.digest, now);
        crash_record merged = known.record;
        if (said.generation > merged.generation)
        {
            merged = said;
        }
        else if (said.generation == merged.generation)
        {
            merged.ended.insert(said.ended.begin(), said.ended.end());
        }
        // The same ones are kept on every host, so that records converge.
        while (merged.ended.size() > this->settings.crashes_to_refuse)
        {
            merged.ended.erase(std::prev(merged.ended.end()));
        }
        if (merged != said)
        {
            result.missing_there.push_back(merged);
        }
        if (merged != known.record)
        {
            known.record = std::move(merged);
            known.last_seen = now;
            result.learned.push_back(known.record);
        }
    }
    return result;
}

void crash_history::expire(instant now)
{
    if (now - this->expired_at < expiry_interval)
    {
        return;
    }
    this->expired_at = now;
    std::erase_if(this->entries,
                  [this, now](auto const& each)
                  {
                      bool const is_refused =
                          this->verdict_of(each.second.record) ==
                          crash_verdict::refused;
                      return now - each.second.last_seen >=
                             (is_refused ? this->settings.refused_memory
                                         : this->settings.suspect_memory);
                  });
}

std::vector<crash_record> crash_history::all() const
{
    std::vector<crash_record> records;
    records.reserve(this->entries.size());
    for (auto const& [digest, known] : this->entries)
    {
        records.push_back(known.record);
    }
    return records;
}

std::size_t crash_history::refused() const
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
