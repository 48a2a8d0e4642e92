#ifndef BILBERRYLEAD_STEERING_BLOCK_TABLE_HPP
#define BILBERRYLEAD_STEERING_BLOCK_TABLE_HPP

#include "bilberrylead/steering/block_delta.hpp"
#include "bilberrylead/steering/block_match.hpp"
#include "bilberrylead/steering/ip_address.hpp"
#include "bilberrylead/steering/layered_block_table.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace bilberrylead::steering
{

/// Which block a caller's address lies in, by longest prefix. A value that
/// never changes: a change makes a new table, which shares nearly all
/// memory with the old one, and look-ups in the old one go on meanwhile.
class block_table
{
public:
    /// A table without blocks.
    block_table() = default;

    /// Makes a table of blocks in any order. A block that stands twice, and
    /// a value that is too large, are errors that name the block.
    static absl::StatusOr<block_table>
    build(std::span<valued_block const> blocks);

    /// The longest block that holds the address. No lock, no allocation;
    /// from any thread.
    std::optional<block_match> find(ip_address const& address) const;

    /// The table after a change. Costs time by the size of the change and
    /// of those before it (see overlay_size), not of the table. A removed
    /// block that isn't there is an error that names it.
    absl::StatusOr<block_table> with_changes(block_delta const& delta) const;
    /// The same blocks without what earlier changes left behind. Costs time
    /// by the size of the table; due when overlay_size() has grown to
    /// some thousands, on a thread that answers no callers.
    block_table compacted() const;

    /// Blocks in force.
    std::size_t size() const;
    /// Blocks that changes have put beside the main table.
    std::size_t overlay_size() const;
    /// Bytes of memory held, what is shared with other tables included.
    std::size_t bytes_held() const;

private:
    layered_block_table<std::uint32_t> v4;
    /// IPv6 blocks of up to 64 bits, which nearly all are; half the size.
    layered_block_table<std::uint64_t> v6;
    /// IPv6 blocks of more than 64 bits.
    layered_block_table<v6_key> v6_long;
};

} // namespace bilberrylead::steering

#endif
