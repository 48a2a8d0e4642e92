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

/// Blocks of one kind of address, sorted, in flat arrays. Never changes
/// once it is built, so that any number of threads may look up.
///
/// A look-up finds the last block that starts at or before the address.
/// That block, or one around it, is the answer. Which lengths the blocks
/// around it have stands beside it as a set of bits, so that at most one
/// more search finds the longest of them that holds the address, however
/// deep the blocks nest.
///
/// On a table far larger than the caches time is what waiting for memory
/// costs: a search waits once, for its leaf. The levels above the leaves
/// hold every leaf's first key, then every 32nd (16th) of those, and so on,
/// and are small enough to stay near the core.
template <class Key>
class sorted_block_table
{
public:
    /// No block.
    static constexpr std::uint32_t none =
        std::numeric_limits<std::uint32_t>::max();

    /// An empty table.
    sorted_block_table() = default;

    /// Takes blocks that are sorted by sorts_before and differ.
    explicit sorted_block_table(std::vector<block_entry<Key>> const& sorted)
        : count(sorted.size())
    {
        this->fill_leaves(sorted);
        this->fill_levels();
    }

    /// Position of the longest block that holds the address and for which
    /// `skipped(position)` is false, or none.
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

    /// Position of this very block, or none.
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

    /// Blocks held.
    std::size_t size() const
    {
        return this->count;
    }

    /// First address of the block at a position.
    Key const& start(std::uint32_t position) const
    {
        return this->leaves[position / leaf_size].starts[position % leaf_size];
    }

    /// Length and value of the block at a position.
    packed_block block(std::uint32_t position) const
    {
        return this->leaves[position / leaf_size].blocks[position % leaf_size];
    }

    /// Bytes of memory held.
    std::size_t bytes_held() const
    {
        return this->leaves.capacity() * sizeof(leaf) +
               this->keys.capacity() * sizeof(Key);
    }

private:
    using traits = address_key_traits<Key>;
    using length_set = typename traits::length_set;

    static constexpr std::size_t cache_line_bytes = 64;
    /// Large enough that the keys above all leaves, 4 or 8 bytes each, stay
    /// in a core's own cache at 4.1 million blocks.
    static constexpr std::size_t leaf_bytes = sizeof(Key) == 4 ? 256 : 512;
    static constexpr std::size_t leaf_size =
        leaf_bytes / (sizeof(Key) + sizeof(packed_block) + sizeof(length_set));
    /// The part of a leaf that holds first addresses, lengths and values.
    static constexpr std::size_t prefetched_bytes =
        leaf_size * (sizeof(Key) + sizeof(packed_block));
    /// Keys compared on each level above: two cache lines.
    static constexpr std::size_t fan_out = sizeof(Key) == 4 ? 32 : 16;
    static constexpr std::size_t max_levels = 12;

    /// Neighbouring blocks. Its lines are asked for at once, so that the end
    /// of a search waits for memory once.
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

    /// The set of all lengths from the shortest to `longest`.
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

    /// A block of the greatest length has no bit: none lies within it.
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
        // The first key of each leaf, then of each group of those, and so
        // on; padded so that the search compares whole groups.
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

    /// Position of the last block that starts at or before the address.
    std::uint32_t find_predecessor(Key const& address) const
    {
        if (this->count == 0)
        {
            return none;
        }
        // Padding also counts as "not after" the last address of all, and
        // may lead past the end there; hence each min.
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

    /// Asks for the lines of a leaf that most searches read, before the first
    /// is waited for. The others would only push the keys of the levels
    /// above out of the core's cache.
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
        // A narrow counter: it is as wide as a key where keys are compared
        // several at a time.
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
