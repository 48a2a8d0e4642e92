#include "group_checker.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace bilberrylead::agreement::tests
{

namespace
{

/// One step of an FNV-1a hash over the fields that identify an entry.
std::uint64_t mix(std::uint64_t digest, std::uint64_t value)
{
    constexpr std::uint64_t prime = 1099511628211ULL;
    return (digest ^ value) * prime;
}

std::uint64_t digest_after(std::uint64_t before, log_entry const& entry)
{
    std::uint64_t digest = mix(mix(before, entry.term), entry.index);
    for (std::uint8_t const one : entry.payload)
    {
        digest = mix(digest, one);
    }
    return digest;
}

} // namespace

void group_checker::record_leader(host_id const& host, std::uint64_t term)
{
    auto const [leader, added] = this->leaders.try_emplace(term, host);
    if (!added && leader->second != host)
    {
        this->fail(fmt::format("term {} has leaders {} and {}", term,
                               leader->second.text(), host.text()));
    }
}

void group_checker::record_apply(host_id const& host, std::uint64_t position,
                                 log_entry const& entry)
{
    if (entry.index != position)
    {
        this->fail(fmt::format("{} applies entry {} where {} is expected",
                               host.text(), entry.index, position));
        return;
    }
    if (position <= this->log.size())
    {
        if (this->log.at(position - 1).entry != entry)
        {
            this->fail(fmt::format("{} applies a different entry at {}",
                                   host.text(), position));
        }
        return;
    }
    std::uint64_t const before =
        this->log.empty() ? 0 : this->log.back().digest;
    this->log.push_back(applied_row{entry, digest_after(before, entry)});
}

void group_checker::record_restore(host_id const& host,
                                   snapshot const& restored)
{
    if (restored.last_index > this->log.size() ||
        restored.state != this->state_at(restored.last_index))
    {
        this->fail(fmt::format("{} restores a wrong snapshot at {}",
                               host.text(), restored.last_index));
    }
}

bytes group_checker::state_at(std::uint64_t index) const
{
    std::uint64_t digest = this->log.at(index - 1).digest;
    bytes state;
    for (std::size_t byte_index = 0; byte_index < sizeof(digest); ++byte_index)
    {
        state.push_back(static_cast<std::uint8_t>(digest & 0xffU));
        digest >>= 8U;
    }
    return state;
}

void group_checker::record_accepted(std::uint64_t index)
{
    this->max_reported_index = std::max(this->max_reported_index, index);
}

void group_checker::record_read_request(std::uint64_t token)
{
    this->min_read_index[token] = this->max_reported_index;
}

void group_checker::record_read_answer(host_id const& host, std::uint64_t token,
                                       std::uint64_t index)
{
    if (index < this->min_read_index.at(token))
    {
        this->fail(fmt::format("{} reads at {}, but {} was reported before",
                               host.text(), index,
                               this->min_read_index.at(token)));
    }
    this->max_reported_index = std::max(this->max_reported_index, index);
}

std::uint64_t group_checker::committed() const
{
    return this->log.size();
}

void group_checker::fail(std::string const& message)
{
    if (!this->violation.has_value())
    {
        this->violation = message;
    }
}

} // namespace bilberrylead::agreement::tests
