#ifndef BILBERRYLEAD_STEERING_LAYERED_TABLE_CHANGE_HPP
#define BILBERRYLEAD_STEERING_LAYERED_TABLE_CHANGE_HPP

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/steering/address_block.hpp"
#include "bilberrylead/steering/block_entry.hpp"
#include "bilberrylead/steering/ip_address.hpp"
#include "bilberrylead/steering/layered_block_table.hpp"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>
#include <vector>

namespace bilberrylead::steering
{

/// The address that an upper half starts with.
inline ip_address full_address(std::uint64_t upper)
{
    return ip_address(v6_key{upper, 0});
}

/// The address itself.
template <class Key>
ip_address full_address(Key const& address)
{
    return ip_address(address);
}

/// True if both are the same block, whatever they stand for.
template <class Key>
bool is_same_prefix(block_entry<Key> const& left, block_entry<Key> const& right)
{
    return left.start == right.start &&
           left.block.length() == right.block.length();
}

/// Sorts blocks and refuses one that stands twice.
template <class Key>
absl::Status sort_and_reject_duplicates(std::vector<block_entry<Key>>& entries)
{
    std::sort(entries.begin(), entries.end(), sorts_before<Key>);
    auto const duplicate =
        std::adjacent_find(entries.begin(), entries.end(), is_same_prefix<Key>);
    if (duplicate == entries.end())
    {
        return absl::OkStatus();
    }
    address_block const block = address_block::containing(
        full_address(duplicate->start), duplicate->block.length());
    return make_error(error_kind::duplicate_name,
                      fmt::format("Block {} stands twice.", block.to_string()),
                      "Remove one of the two.");
}

/// Changes to the blocks of one kind, collected before they take effect.
template <class Key>
class layered_table_change
{
public:
    /// Starts from what is in force.
    explicit layered_table_change(layered_block_table<Key> const& current)
        : updated(current), overlay_entries(current.overlay_entries())
    {
    }

    /// Removes a block; false if it isn't there.
    bool remove(Key const& start, unsigned length)
    {
        block_entry<Key> const target{start, {length, 0}};
        auto const found = std::lower_bound(this->overlay_entries.begin(),
                                            this->overlay_entries.end(), target,
                                            sorts_before<Key>);
        if (found != this->overlay_entries.end() &&
            is_same_prefix(*found, target))
        {
            this->overlay_entries.erase(found);
            return true;
        }
        return this->updated.hide(start, length);
    }

    /// Adds a block or changes what it stands for; after all removals.
    void set(Key const& start, packed_block block)
    {
        this->updated.hide(start, block.length());
        this->changed_entries.push_back({start, block});
    }

    /// Puts the changes together. Refuses a block that is set twice.
    absl::Status finish()
    {
        absl::Status status = sort_and_reject_duplicates(this->changed_entries);
        if (!status.ok())
        {
            return status;
        }
        // Of equal blocks the union takes the first list's: a block that
        // changes again replaces its earlier change.
        std::vector<block_entry<Key>> merged;
        merged.reserve(this->overlay_entries.size() +
                       this->changed_entries.size());
        std::set_union(
            this->changed_entries.begin(), this->changed_entries.end(),
            this->overlay_entries.begin(), this->overlay_entries.end(),
            std::back_inserter(merged), sorts_before<Key>);
        this->updated.set_overlay(merged);
        return absl::OkStatus();
    }

    /// The blocks after the change; once, after finish().
    layered_block_table<Key> result() &&
    {
        return std::move(this->updated);
    }

private:
    layered_block_table<Key> updated;
    std::vector<block_entry<Key>> overlay_entries;
    std::vector<block_entry<Key>> changed_entries;
};

} // namespace bilberrylead::steering

#endif
