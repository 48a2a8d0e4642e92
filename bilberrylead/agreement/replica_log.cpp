#include "bilberrylead/agreement/replica_log.hpp"

#include <cassert>
#include <utility>

namespace bilberrylead::agreement
{

void replica_log::reset(std::uint64_t index, std::uint64_t term)
{
    this->base = index;
    this->base_term = term;
    this->entries.clear();
}

std::uint64_t replica_log::base_index() const
{
    return this->base;
}

std::uint64_t replica_log::last_index() const
{
    return this->base + this->entries.size();
}

std::uint64_t replica_log::last_term() const
{
    return this->entries.empty() ? this->base_term : this->entries.back().term;
}

std::optional<std::uint64_t> replica_log::term_at(std::uint64_t index) const
{
    if (index == this->base)
    {
        return this->base_term;
    }
    if (index < this->base || index > this->last_index())
    {
        return std::nullopt;
    }
    return this->at(index).term;
}

log_entry const& replica_log::at(std::uint64_t index) const
{
    assert(index > this->base && index <= this->last_index());

    return this->entries[index - this->base - 1];
}

void replica_log::append(log_entry next)
{
    assert(next.index == this->last_index() + 1);

    this->entries.push_back(std::move(next));
}

void replica_log::truncate_from(std::uint64_t index)
{
    assert(index > this->base && index <= this->last_index());

    this->entries.resize(index - this->base - 1);
}

void replica_log::drop_through(std::uint64_t index)
{
    assert(index <= this->last_index());

    while (this->base < index)
    {
        this->base_term = this->entries.front().term;
        this->entries.pop_front();
        ++this->base;
    }
}

std::vector<log_entry> replica_log::slice(std::uint64_t from,
                                          std::size_t max_entries,
                                          std::size_t max_bytes) const
{
    assert(from > this->base);

    std::vector<log_entry> part;
    std::size_t part_bytes = 0;
    for (std::uint64_t index = from;
         index <= this->last_index() && part.size() < max_entries; ++index)
    {
        log_entry const& next = this->at(index);
        part_bytes += next.payload.size();
        if (!part.empty() && part_bytes > max_bytes)
        {
            break;
        }
        part.push_back(next);
    }
    return part;
}

std::uint64_t replica_log::first_of_term(std::uint64_t index) const
{
    std::uint64_t const term = this->at(index).term;
    while (index - 1 > this->base && this->at(index - 1).term == term)
    {
        --index;
    }
    return index;
}

} // namespace bilberrylead::agreement
