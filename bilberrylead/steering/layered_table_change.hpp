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

/// Returns the lowest IPv6 address with this upper half.
inline ip_address full_address(std::uint64_t upper)
{
    return ip_address(v6_key{upper, 0});
}

/// Returns the key as an address.
template <class Key>
ip_address full_address(Key const& address)
{
    return ip_address(address);
}

/// Returns true if both entries are of the same block, whatever their values.
template <class Key>
bool is_same_prefix(block_entry<Key> const& left, block_entry<Key> const& right)
{
    return left.start == right.start &&
           left.block.length() == right.block.length();
}

/// Sorts blocks by sorts_before. Returns error_kind::duplicate_name if a
/// block occurs twice.
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
    return make_error(
        error_kind::duplicate_name,
        fmt::format("Block {} is listed twice.", block.to_string()),
        "Remove one of the two entries.");
}

/// Collects changes to the blocks of a layered table and applies them to a
/// copy. Call remove() for all removals, then set(), then finish() and
/// result().
template <class Key>
class layered_table_change
{
public:
    /// Starts from the blocks of `current`, which stays as it is.
    explicit layered_table_change(layered_block_table<Key> const& current)
        : updated(current), overlay_entries(current.overlay_entries())
    {
    }

    /// Removes a block. Returns false if it is not in the table.
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

    /// Adds a block or changes its value. Call it after all removals.
    void set(Key const& start, packed_block block)
    {
        this->updated.hide(start, block.length());
        this->changed_entries.push_back({start, block});
    }

    /// Applies the collected changes. Returns error_kind::duplicate_name if a
    /// block was set twice.
    absl::Status finish()
    {
        absl::Status status = sort_and_reject_duplicates(this->changed_entries);
        if (!status.ok())
        {
            return status;
        }
        // std::set_union takes equal blocks from the first list, so a block
        // that changes again replaces its earlier change.
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

    /// Returns the table with the changes. Call it once, after finish().
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
