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

/// Maps the address of a caller to a block, by longest-prefix match. Tables
/// are immutable: a change creates a new table, which shares nearly all of
/// its memory with the old one. Look-ups in the old table may continue
/// concurrently.
class block_table
{
public:
    /// Creates an empty table.
    block_table() = default;

    /// Builds a table from blocks in any order. Returns an error that names
    /// the block if a block occurs twice (error_kind::duplicate_name) or its
    /// value is not below block_value_limit (error_kind::no_room).
    static absl::StatusOr<block_table>
    build(std::span<valued_block const> blocks);

    /// Returns the longest block that contains the address. Takes no lock
    /// and allocates no memory; may be called from any thread.
    std::optional<block_match> find(ip_address const& address) const;

    /// Returns a table with the changes applied. Takes time proportional to
    /// the size of this change and of earlier ones (see overlay_size), not
    /// to the size of the table. Returns an error that names the block if a
    /// block to remove is not in the table (error_kind::unknown_name), if a
    /// block is set twice, or if a value is too large (both as in build).
    absl::StatusOr<block_table> with_changes(block_delta const& delta) const;
    /// Returns a table of the same blocks with an empty overlay. Takes time
    /// proportional to the size of the table. Call it when overlay_size()
    /// has grown to some thousands, on a thread that serves no callers.
    block_table compacted() const;

    /// Returns the number of blocks.
    std::size_t size() const;
    /// Returns the number of blocks that changes have added or replaced since
    /// the table was built or compacted.
    std::size_t overlay_size() const;
    /// Returns the memory held in bytes, including memory shared with other
    /// tables.
    std::size_t bytes_held() const;

private:
    layered_block_table<std::uint32_t> v4;
    /// IPv6 blocks with a prefix of up to 64 bits, which nearly all are. Their
    /// keys take half the memory of full addresses.
    layered_block_table<std::uint64_t> v6;
    /// IPv6 blocks with a prefix of more than 64 bits.
    layered_block_table<v6_key> v6_long;
};

} // namespace bilberrylead::steering

#endif
