#ifndef BILBERRYLEAD_STEERING_SORTED_BLOCK_TABLE_HPP
#define BILBERRYLEAD_STEERING_SORTED_BLOCK_TABLE_HPP

#include "bilberrylead/steering/address_key_traits.hpp"
#include "bilberrylead/steering/block_entry.hpp"
#include "bilberrylead/steering/large_pages.hpp"
#include "bilberrylead/steering/v6_key.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace bilberrylead::steering
{

/// Blocks with keys of one type, sorted, in flat arrays. Immutable once
/// built, so that any number of threads may search it concurrently.
///
/// A look-up finds the predecessor: the last block that starts at or before
/// the address. The result is that block or one that encloses it. Each block
/// is stored with a bit set of the prefix lengths of its enclosing blocks, so
/// that at most one more search finds the longest of them that contains the
/// address, however deep the blocks nest.
///
/// In a table far larger than the caches, memory latency dominates the time
/// of a search. Only the access to the leaf misses the cache: the levels
/// above the leaves contain the first key of every leaf, then every 32nd of
/// those (16th for IPv6), and so on, and are small enough to stay in the
/// cache of the core.
template <class Key>
class sorted_block_table
{
public:
    /// Position that stands for "no block".
    static constexpr std::uint32_t none =
        std::numeric_limits<std::uint32_t>::max();

    /// Creates an empty table.
    sorted_block_table() = default;

    /// Creates a table of blocks that are sorted by sorts_before and contain
    /// no duplicates.
    explicit sorted_block_table(std::vector<block_entry<Key>> const& sorted)
        : count(sorted.size())
    {
        this->fill_leaves(sorted);
        this->fill_levels();
    }

    /// Returns the position of the longest block that contains the address
    /// and for which `is_skipped(position)` is false, or none.
    template <class IsSkipped>
    std::uint32_t find(Key const& address, IsSkipped const& is_skipped) const
    {
        std::uint32_t const predecessor = this->find_predecessor(address);
        if (predecessor == none)
        {
            return none;
        }
        unsigned const common =
            traits::common_prefix_length(address, this->start(predecessor));
        if (this->block(predecessor).length() <= common &&
            !is_skipped(predecessor))
        {
            return predecessor;
        }
        length_set candidates =
            this->enclosing_lengths(predecessor) & lengths_up_to(common);
        while (candidates != 0)
        {
            unsigned const bit =
                static_cast<unsigned>(std::bit_width(candidates)) - 1;
            unsigned const length = traits::min_length + bit;
            std::uint32_t const found =
                this->find_exact(truncated(address, length), length);
            assert(found != none);
            if (!is_skipped(found))
            {
                return found;
            }
            candidates ^= length_set{1} << bit;
        }
        return none;
    }

    /// Returns the position of the block with this first address and prefix
    /// length, or none.
    std::uint32_t find_exact(Key const& start, unsigned length) const
    {
        std::uint32_t position = this->find_predecessor(start);
        while (position != none && this->start(position) == start &&
               this->block(position).length() > length)
        {
            position = position == 0 ? none : position - 1;
        }
        bool const is_same = position != none &&
                             this->start(position) == start &&
                             this->block(position).length() == length;
        return is_same ? position : none;
    }

    /// Returns the number of blocks.
    std::size_t size() const
    {
        return this->count;
    }

    /// Returns the first address of the block at a position below size().
    Key const& start(std::uint32_t position) const
    {
        return this->leaves[position / leaf_size].starts[position % leaf_size];
    }

    /// Returns the prefix length and value of the block at a position below
    /// size().
    packed_block block(std::uint32_t position) const
    {
        return this->leaves[position / leaf_size].blocks[position % leaf_size];
    }

    /// Returns the memory held in bytes.
    std::size_t bytes_held() const
    {
        return this->leaves.capacity() * sizeof(leaf) +
               this->keys.capacity() * sizeof(Key);
    }

private:
    using traits = address_key_traits<Key>;
    using length_set = typename traits::length_set;

    static constexpr std::size_t cache_line_bytes = 64;
    /// Large enough that the keys of the levels above the leaves, 4 or 8
    /// bytes each, stay in a core's private cache at 4.1 million blocks.
    static constexpr std::size_t leaf_bytes = sizeof(Key) == 4 ? 256 : 512;
    static constexpr std::size_t leaf_size =
        leaf_bytes / (sizeof(Key) + sizeof(packed_block) + sizeof(length_set));
    /// Size of the first addresses, prefix lengths and values of a leaf, which
    /// most searches read.
    static constexpr std::size_t prefetched_bytes =
        leaf_size * (sizeof(Key) + sizeof(packed_block));
    /// Keys compared on each level above the leaves: two cache lines.
    static constexpr std::size_t fan_out = sizeof(Key) == 4 ? 32 : 16;
    static constexpr std::size_t max_levels = 12;

    /// Consecutive blocks. A search prefetches the cache lines of a leaf
    /// together, so that it waits for memory once.
    struct alignas(leaf_bytes) leaf
    {
        std::array<Key, leaf_size> starts;
        std::array<packed_block, leaf_size> blocks;
        std::array<length_set, leaf_size> enclosing_lengths;
    };
    static_assert(sizeof(leaf) == leaf_bytes);

    template <class Value>
    using large_page_vector = std::vector<Value, large_page_allocator<Value>>;

    length_set enclosing_lengths(std::uint32_t position) const
    {
        return this->leaves[position / leaf_size]
            .enclosing_lengths[position % leaf_size];
    }

    /// Returns the set of all lengths from min_length to `longest`.
    static length_set lengths_up_to(unsigned longest)
    {
        if (longest < traits::min_length)
        {
            return 0;
        }
        unsigned const bits = longest - traits::min_length + 1;
        return bits >= std::numeric_limits<length_set>::digits
                   ? std::numeric_limits<length_set>::max()
                   : (length_set{1} << bits) - 1;
    }

    static std::size_t ceil_divide(std::size_t size, std::size_t by)
    {
        return (size + by - 1) / by;
    }

    void fill_leaves(std::vector<block_entry<Key>> const& sorted)
    {
        leaf empty{};
        empty.starts.fill(traits::max_address);
        this->leaves.resize(ceil_divide(this->count, leaf_size), empty);
        std::vector<std::uint32_t> enclosing_blocks;
        length_set enclosing_lengths = 0;
        for (std::uint32_t i = 0; i < this->count; ++i)
        {
            while (!enclosing_blocks.empty() &&
                   !contains(sorted[enclosing_blocks.back()], sorted[i]))
            {
                enclosing_lengths ^=
                    length_bit(sorted[enclosing_blocks.back()]);
                enclosing_blocks.pop_back();
            }
            leaf& target = this->leaves[i / leaf_size];
            target.starts[i % leaf_size] = sorted[i].start;
            target.blocks[i % leaf_size] = sorted[i].block;
            target.enclosing_lengths[i % leaf_size] = enclosing_lengths;
            enclosing_lengths ^= length_bit(sorted[i]);
            enclosing_blocks.push_back(i);
        }
    }

    /// Returns the bit of the entry's prefix length. The greatest length has
    /// no bit, as such a block encloses no other.
    static length_set length_bit(block_entry<Key> const& entry)
    {
        unsigned const bit = entry.block.length() - traits::min_length;
        return bit >= std::numeric_limits<length_set>::digits
                   ? 0
                   : length_set{1} << bit;
    }

    static bool contains(block_entry<Key> const& outer,
                         block_entry<Key> const& inner)
    {
        return outer.block.length() <=
               traits::common_prefix_length(outer.start, inner.start);
    }

    void fill_levels()
    {
        // The lowest level has the first key of each leaf, the next one the
        // first key of each group of those, and so on. Each level is padded
        // so that a search compares complete groups.
        std::array<std::size_t, max_levels> sizes{};
        std::size_t total = 0;
        for (std::size_t size = this->leaves.size(); size > 0;
             size = size > fan_out ? ceil_divide(size, fan_out) : 0)
        {
            assert(this->level_count < max_levels);
            sizes[this->level_count++] = size;
            total += ceil_divide(size, fan_out) * fan_out;
        }
        this->keys.reserve(total);
        std::size_t step = 1;
        for (std::size_t level = 0; level < this->level_count; ++level)
        {
            this->level_starts[level] = this->keys.size();
            this->level_last_indices[level] = sizes[level] - 1;
            for (std::size_t i = 0; i < sizes[level]; ++i)
            {
                this->keys.push_back(this->leaves[i * step].starts[0]);
            }
            this->keys.resize(ceil_divide(this->keys.size(), fan_out) * fan_out,
                              traits::max_address);
            step *= fan_out;
        }
    }

    /// Returns the position of the last block that starts at or before the
    /// address, or none.
    std::uint32_t find_predecessor(Key const& address) const
    {
        if (this->count == 0)
        {
            return none;
        }
        // Padding keys equal the greatest address. A search for that address
        // counts them too and would run past the end, so each index is
        // limited with std::min.
        std::size_t group = 0;
        for (std::size_t level = this->level_count; level-- > 0;)
        {
            Key const* const first =
                this->keys.data() + this->level_starts[level] + group * fan_out;
            std::size_t const not_greater =
                count_not_greater<fan_out>(first, address);
            if (not_greater == 0)
            {
                return none;
            }
            group = group * fan_out + not_greater - 1;
            group = std::min(group, this->level_last_indices[level]);
        }
        leaf const& found = this->leaves[group];
        prefetch(found);
        std::size_t const not_greater =
            count_not_greater<leaf_size>(found.starts.data(), address);
        std::size_t const position = group * leaf_size + not_greater - 1;
        return static_cast<std::uint32_t>(std::min(position, this->count - 1));
    }

    /// Prefetches the cache lines of a leaf that most searches read, before
    /// the first of them is accessed. Prefetching the others would only evict
    /// keys of the levels above from the core's cache.
    static void prefetch(leaf const& target)
    {
        char const* const first = reinterpret_cast<char const*>(&target);
        for (std::size_t offset = 0; offset < prefetched_bytes;
             offset += cache_line_bytes)
        {
            __builtin_prefetch(first + offset);
        }
    }

    template <std::size_t Keys>
    static std::size_t count_not_greater(Key const* first, Key const& address)
    {
        // The counter is 32 bits wide, like the keys that are compared with
        // SIMD instructions.
        std::uint32_t not_greater = 0;
        for (std::size_t i = 0; i < Keys; ++i)
        {
            not_greater += first[i] <= address ? 1U : 0U;
        }
        return not_greater;
    }

    std::size_t count = 0;
    large_page_vector<leaf> leaves;
    large_page_vector<Key> keys;
    std::array<std::size_t, max_levels> level_starts{};
    std::array<std::size_t, max_levels> level_last_indices{};
    std::size_t level_count = 0;
};

} // namespace bilberrylead::steering

#endif
