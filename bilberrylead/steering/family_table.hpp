#ifndef BILBERRYLEAD_STEERING_FAMILY_TABLE_HPP
#define BILBERRYLEAD_STEERING_FAMILY_TABLE_HPP

#include "bilberrylead/steering/block_entry.hpp"
#include "bilberrylead/steering/v6_key.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace bilberrylead::steering
{

/// Blocks of one address family, sorted, in flat arrays. Never changes once
/// it is built, so that any number of threads may look up.
///
/// The search descends through levels, each of which holds every 16th (8th)
/// key of the one below: about one cache line a level, whatever the
/// distribution of the blocks. A table indexed by the first bits would be
/// faster for evenly spread IPv4 blocks and no help for IPv6, where nearly
/// all blocks share them.
template <class Key>
class family_table
{
public:
    /// No block.
    static constexpr std::uint32_t none =
        std::numeric_limits<std::uint32_t>::max();

    /// An empty table.
    family_table() = default;

    /// Takes blocks that are sorted by sorts_before and differ.
    explicit family_table(std::vector<block_entry<Key>> const& sorted)
        : count(sorted.size())
    {
        this->fill_entries(sorted);
        this->fill_levels(sorted);
    }

    /// Position of the longest block that holds the address and for which
    /// `skipped(position)` is false, or none.
    template <class Skipped>
    std::uint32_t find(Key const& address, Skipped const& skipped) const
    {
        std::uint32_t position = this->last_not_after(address);
        // A block that starts before the address and doesn't hold it lies
        // inside, or beside, one that does: its parents are the only others
        // that can.
        while (position != none &&
               (truncated(address, this->entries[position].block.length()) !=
                    this->start(position) ||
                skipped(position)))
        {
            position = this->entries[position].parent;
        }
        return position;
    }

    /// Position of this very block, or none.
    std::uint32_t find_exact(Key const& start, unsigned length) const
    {
        std::uint32_t position = this->last_not_after(start);
        while (position != none && this->start(position) == start)
        {
            if (this->entries[position].block.length() == length)
            {
                return position;
            }
            position = this->entries[position].parent;
        }
        return none;
    }

    /// Blocks held.
    std::size_t size() const
    {
        return this->count;
    }

    /// First address of the block at a position.
    Key const& start(std::uint32_t position) const
    {
        return this->keys[position];
    }

    /// Length and value of the block at a position.
    packed_block block(std::uint32_t position) const
    {
        return this->entries[position].block;
    }

    /// Bytes of memory held.
    std::size_t bytes_held() const
    {
        return this->keys.capacity() * sizeof(Key) +
               this->entries.capacity() * sizeof(entry);
    }

private:
    struct entry
    {
        packed_block block;
        std::uint32_t parent = none;
    };

    /// Keys that are compared on each level: a cache line of IPv4 keys, two
    /// of IPv6.
    static constexpr std::size_t fan_out = sizeof(Key) == 4 ? 16 : 8;
    static constexpr std::size_t most_levels = 12;

    static std::size_t padded(std::size_t size)
    {
        return (size + fan_out - 1) / fan_out * fan_out;
    }

    static Key largest_key()
    {
        if constexpr (sizeof(Key) == 4)
        {
            return std::numeric_limits<Key>::max();
        }
        else
        {
            return {std::numeric_limits<std::uint64_t>::max(),
                    std::numeric_limits<std::uint64_t>::max()};
        }
    }

    void fill_entries(std::vector<block_entry<Key>> const& sorted)
    {
        this->entries.reserve(this->count);
        std::vector<std::uint32_t> open;
        for (std::uint32_t i = 0; i < this->count; ++i)
        {
            while (!open.empty() && !holds(sorted[open.back()], sorted[i]))
            {
                open.pop_back();
            }
            this->entries.push_back(
                {sorted[i].block, open.empty() ? none : open.back()});
            open.push_back(i);
        }
    }

    static bool holds(block_entry<Key> const& outer,
                      block_entry<Key> const& inner)
    {
        return truncated(inner.start, outer.block.length()) == outer.start;
    }

    void fill_levels(std::vector<block_entry<Key>> const& sorted)
    {
        // All levels in one array, the lowest first, each padded so that
        // the search compares whole groups.
        std::vector<std::size_t> sizes;
        std::size_t total = 0;
        for (std::size_t size = this->count; size > 0;
             size = size > fan_out ? (size + fan_out - 1) / fan_out : 0)
        {
            sizes.push_back(size);
            total += padded(size);
        }
        assert(sizes.size() <= most_levels);
        this->keys.reserve(total);
        std::size_t step = 1;
        for (std::size_t const size : sizes)
        {
            this->level_starts[this->level_count] = this->keys.size();
            this->level_sizes[this->level_count] = size;
            ++this->level_count;
            for (std::size_t i = 0; i < size; ++i)
            {
                this->keys.push_back(sorted[i * step].start);
            }
            this->keys.resize(padded(this->keys.size()), largest_key());
            step *= fan_out;
        }
    }

    /// Position of the last block that starts at or before the address.
    std::uint32_t last_not_after(Key const& address) const
    {
        std::size_t position = 0;
        for (std::size_t level = this->level_count; level-- > 0;)
        {
            Key const* const group = this->keys.data() +
                                     this->level_starts[level] +
                                     position * fan_out;
            std::size_t not_after = 0;
            for (std::size_t i = 0; i < fan_out; ++i)
            {
                not_after += group[i] <= address ? 1U : 0U;
            }
            if (not_after == 0)
            {
                return none;
            }
            position = position * fan_out + not_after - 1;
            // The padding also counts as "not after" the largest address.
            position = std::min(position, this->level_sizes[level] - 1);
        }
        return this->level_count == 0 ? none
                                      : static_cast<std::uint32_t>(position);
    }

    std::size_t count = 0;
    std::vector<Key> keys;
    std::vector<entry> entries;
    std::array<std::size_t, most_levels> level_starts{};
    std::array<std::size_t, most_levels> level_sizes{};
    std::size_t level_count = 0;
};

} // namespace bilberrylead::steering

#endif
