#ifndef BILBERRYLEAD_STEERING_FAMILY_CHANGE_HPP
#define BILBERRYLEAD_STEERING_FAMILY_CHANGE_HPP

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/steering/address_block.hpp"
#include "bilberrylead/steering/block_entry.hpp"
#include "bilberrylead/steering/ip_address.hpp"
#include "bilberrylead/steering/layered_family.hpp"

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
bool is_same_block(block_entry<Key> const& left, block_entry<Key> const& right)
{
    return left.start == right.start &&
           left.block.length() == right.block.length();
}

/// Sorts blocks and refuses one that stands twice.
template <class Key>
absl::Status sort_unique(std::vector<block_entry<Key>>& entries)
{
    std::sort(entries.begin(), entries.end(), sorts_before<Key>);
    auto const twice =
        std::adjacent_find(entries.begin(), entries.end(), is_same_block<Key>);
    if (twice == entries.end())
    {
        return absl::OkStatus();
    }
    address_block const block = address_block::around(
        full_address(twice->start), twice->block.length());
    return make_error(error_kind::duplicate_name,
                      fmt::format("Block {} stands twice.", block.to_string()),
                      "Remove one of the two.");
}

/// Changes to the blocks of one kind, collected before they take effect.
template <class Key>
class family_change
{
public:
    /// Starts from what is in force.
    explicit family_change(layered_family<Key> const& before)
        : after(before), entries(before.changed())
    {
    }

    /// Removes a block; false if it isn't there.
    bool remove(Key const& start, unsigned length)
    {
        block_entry<Key> const wanted{start, {length, 0}};
        auto const found =
            std::lower_bound(this->entries.begin(), this->entries.end(), wanted,
                             sorts_before<Key>);
        if (found != this->entries.end() && is_same_block(*found, wanted))
        {
            this->entries.erase(found);
            return true;
        }
        return this->after.hide(start, length);
    }

    /// Adds a block or changes what it stands for; after all removals.
    void set(Key const& start, packed_block block)
    {
        this->after.hide(start, block.length());
        this->newer.push_back({start, block});
    }

    /// Puts the changes together. Refuses a block that is set twice.
    absl::Status finish()
    {
        absl::Status status = sort_unique(this->newer);
        if (!status.ok())
        {
            return status;
        }
        // Of equal blocks the union takes the first list's: a block that
        // changes again replaces its earlier change.
        std::vector<block_entry<Key>> merged;
        merged.reserve(this->entries.size() + this->newer.size());
        std::set_union(this->newer.begin(), this->newer.end(),
                       this->entries.begin(), this->entries.end(),
                       std::back_inserter(merged), sorts_before<Key>);
        this->after.set_changed(merged);
        return absl::OkStatus();
    }

    /// The blocks after the change; once, after finish().
    layered_family<Key> result() &&
    {
        return std::move(this->after);
    }

private:
    layered_family<Key> after;
    std::vector<block_entry<Key>> entries;
    std::vector<block_entry<Key>> newer;
};

} // namespace bilberrylead::steering

#endif
