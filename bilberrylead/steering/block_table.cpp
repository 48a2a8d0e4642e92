#include "bilberrylead/steering/block_table.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/steering/layered_table_change.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace bilberrylead::steering
{

namespace
{

/// Entries of each key type while a table is built.
struct entry_lists
{
    std::vector<block_entry<std::uint32_t>> v4;
    std::vector<block_entry<std::uint64_t>> v6;
    std::vector<block_entry<v6_key>> v6_long;
};

/// Pending changes of each key type.
struct table_change
{
    layered_table_change<std::uint32_t> v4;
    layered_table_change<std::uint64_t> v6;
    layered_table_change<v6_key> v6_long;
};

/// Calls `action` with the member of `parts` for the key type of the block,
/// and the block's first address as such a key.
template <class Parts, class Action>
auto visit_part(Parts& parts, address_block const& block, Action&& action)
{
    ip_address const& first = block.first();
    if (first.is_v4())
    {
        return action(parts.v4, first.v4());
    }
    constexpr unsigned upper_half = 64;
    return block.length() <= upper_half ? action(parts.v6, first.v6().high)
                                        : action(parts.v6_long, first.v6());
}

absl::Status check_value(valued_block const& entry)
{
    if (entry.value < block_value_limit)
    {
        return absl::OkStatus();
    }
    return make_error(
        error_kind::no_room,
        fmt::format("Block {} has value {}; the largest value is {}.",
                    entry.block.to_string(), entry.value,
                    block_value_limit - 1),
        "Use the same value for blocks with equal zone and labels.");
}

absl::Status not_found_error(address_block const& block)
{
    return make_error(error_kind::unknown_name,
                      fmt::format("Block {} to remove is not in the table.",
                                  block.to_string()),
                      "Fetch the complete table again.");
}

} // namespace

absl::StatusOr<block_table>
block_table::build(std::span<valued_block const> blocks)
{
    entry_lists parts;
    for (valued_block const& entry : blocks)
    {
        absl::Status status = check_value(entry);
        if (!status.ok())
        {
            return status;
        }
        packed_block const packed(entry.block.length(), entry.value);
        visit_part(parts, entry.block,
                   [&packed](auto& entries, auto const& start)
                   {
                       entries.push_back({start, packed});
                   });
    }
    absl::Status status = sort_and_reject_duplicates(parts.v4);
    status.Update(sort_and_reject_duplicates(parts.v6));
    status.Update(sort_and_reject_duplicates(parts.v6_long));
    if (!status.ok())
    {
        return status;
    }
    block_table table;
    table.v4 = layered_block_table<std::uint32_t>(parts.v4);
    table.v6 = layered_block_table<std::uint64_t>(parts.v6);
    table.v6_long = layered_block_table<v6_key>(parts.v6_long);
    return table;
}

std::optional<block_match> block_table::find(ip_address const& address) const
{
    if (address.is_v4())
    {
        return this->v4.find(address.v4());
    }
    if (this->v6_long.size() > 0)
    {
        std::optional<block_match> const match =
            this->v6_long.find(address.v6());
        if (match.has_value())
        {
            return match;
        }
    }
    return this->v6.find(address.v6().high);
}

absl::StatusOr<block_table>
block_table::with_changes(block_delta const& delta) const
{
    table_change change{layered_table_change(this->v4),
                        layered_table_change(this->v6),
                        layered_table_change(this->v6_long)};
    for (address_block const& block : delta.removed)
    {
        bool const was_present =
            visit_part(change, block,
                       [&block](auto& part, auto const& start)
                       {
                           return part.remove(start, block.length());
                       });
        if (!was_present)
        {
            return not_found_error(block);
        }
    }
    for (valued_block const& entry : delta.set)
    {
        absl::Status status = check_value(entry);
        if (!status.ok())
        {
            return status;
        }
        packed_block const packed(entry.block.length(), entry.value);
        visit_part(change, entry.block,
                   [&packed](auto& part, auto const& start)
                   {
                       part.set(start, packed);
                   });
    }
    absl::Status status = change.v4.finish();
    status.Update(change.v6.finish());
    status.Update(change.v6_long.finish());
    if (!status.ok())
    {
        return status;
    }
    block_table table;
    table.v4 = std::move(change.v4).result();
    table.v6 = std::move(change.v6).result();
    table.v6_long = std::move(change.v6_long).result();
    return table;
}

block_table block_table::compacted() const
{
    block_table table;
    table.v4 = layered_block_table<std::uint32_t>(this->v4.merged_entries());
    table.v6 = layered_block_table<std::uint64_t>(this->v6.merged_entries());
    table.v6_long = layered_block_table<v6_key>(this->v6_long.merged_entries());
    return table;
}

std::size_t block_table::size() const
{
    return this->v4.size() + this->v6.size() + this->v6_long.size();
}

std::size_t block_table::overlay_size() const
{
    return this->v4.overlay_size() + this->v6.overlay_size() +
           this->v6_long.overlay_size();
}

std::size_t block_table::bytes_held() const
{
    return this->v4.bytes_held() + this->v6.bytes_held() +
           this->v6_long.bytes_held();
}

} // namespace bilberrylead::steering
