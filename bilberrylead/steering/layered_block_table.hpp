#ifndef BILBERRYLEAD_STEERING_LAYERED_BLOCK_TABLE_HPP
#define BILBERRYLEAD_STEERING_LAYERED_BLOCK_TABLE_HPP

#include "bilberrylead/steering/block_entry.hpp"
#include "bilberrylead/steering/block_match.hpp"
#include "bilberrylead/steering/sorted_block_table.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace bilberrylead::steering
{

/// Blocks with keys of one type, as a large immutable base shared with
/// earlier versions, and a small overlay of the blocks changed since. A
/// change copies the overlay and one bit for each base block, never the base.
template <class Key>
class layered_block_table
{
public:
    /// Creates an empty table.
    layered_block_table() : base(std::make_shared<table>())
    {
    }

    /// Creates a table of blocks that are sorted by sorts_before and contain
    /// no duplicates; the overlay is empty.
    explicit layered_block_table(std::vector<block_entry<Key>> const& sorted)
        : base(std::make_shared<table>(sorted)), live_count(sorted.size())
    {
    }

    /// Returns the longest block that contains the address. Takes no lock and
    /// allocates no memory.
    std::optional<block_match> find(Key const& address) const
    {
        std::optional<block_match> base_match = make_match(
            *this->base, this->base->find(address,
                                          [this](std::uint32_t position)
                                          {
                                              return this->is_hidden(position);
                                          }));
        if (this->overlay.size() == 0)
        {
            return base_match;
        }
        std::optional<block_match> const overlay_match =
            make_match(this->overlay, this->overlay.find(address,
                                                         [](std::uint32_t)
                                                         {
                                                             return false;
                                                         }));
        bool const is_longer = overlay_match.has_value() &&
                               (!base_match.has_value() ||
                                overlay_match->length > base_match->length);
        return is_longer ? overlay_match : base_match;
    }

    /// Returns the blocks of the overlay, sorted. A change starts from them.
    std::vector<block_entry<Key>> overlay_entries() const
    {
        std::vector<block_entry<Key>> entries;
        entries.reserve(this->overlay.size());
        for (std::uint32_t i = 0; i < this->overlay.size(); ++i)
        {
            entries.push_back({this->overlay.start(i), this->overlay.block(i)});
        }
        return entries;
    }

    /// Hides a block of the base from look-ups. Returns false if it is not in
    /// the base or is hidden already.
    bool hide(Key const& start, unsigned length)
    {
        std::uint32_t const position = this->base->find_exact(start, length);
        if (position == table::none || this->is_hidden(position))
        {
            return false;
        }
        if (this->hidden.empty())
        {
            this->hidden.resize(this->base->size() / bits_per_word + 1);
        }
        this->hidden[position / bits_per_word] |= std::uint64_t{1}
                                                  << (position % bits_per_word);
        --this->live_count;
        return true;
    }

    /// Replaces the overlay by blocks that are sorted by sorts_before and
    /// contain no duplicates.
    void set_overlay(std::vector<block_entry<Key>> const& sorted)
    {
        this->live_count += sorted.size();
        this->live_count -= this->overlay.size();
        this->overlay = table(sorted);
    }

    /// Returns the visible blocks of base and overlay, sorted.
    std::vector<block_entry<Key>> merged_entries() const
    {
        std::vector<block_entry<Key>> const changed = this->overlay_entries();
        std::vector<block_entry<Key>> entries;
        entries.reserve(this->live_count);
        auto next = changed.begin();
        for (std::uint32_t i = 0; i < this->base->size(); ++i)
        {
            if (this->is_hidden(i))
            {
                continue;
            }
            block_entry<Key> const base_entry{this->base->start(i),
                                              this->base->block(i)};
            while (next != changed.end() && sorts_before(*next, base_entry))
            {
                entries.push_back(*next++);
            }
            entries.push_back(base_entry);
        }
        entries.insert(entries.end(), next, changed.end());
        return entries;
    }

    /// Returns the number of visible blocks of base and overlay.
    std::size_t size() const
    {
        return this->live_count;
    }

    /// Returns the number of blocks in the overlay.
    std::size_t overlay_size() const
    {
        return this->overlay.size();
    }

    /// Returns the memory held in bytes, including the shared base.
    std::size_t bytes_held() const
    {
        return this->base->bytes_held() + this->overlay.bytes_held() +
               this->hidden.capacity() * sizeof(std::uint64_t);
    }

private:
    using table = sorted_block_table<Key>;
    static constexpr std::size_t bits_per_word = 64;

    bool is_hidden(std::uint32_t position) const
    {
        return !this->hidden.empty() &&
               (this->hidden[position / bits_per_word] >>
                    (position % bits_per_word) &
                1U) != 0;
    }

    static std::optional<block_match> make_match(table const& blocks,
                                                 std::uint32_t position)
    {
        if (position == table::none)
        {
            return std::nullopt;
        }
        packed_block const block = blocks.block(position);
        return block_match{block.value(), block.length()};
    }

    std::shared_ptr<table const> base;
    std::vector<std::uint64_t> hidden;
    table overlay;
    std::size_t live_count = 0;
};

} // namespace bilberrylead::steering

#endif
