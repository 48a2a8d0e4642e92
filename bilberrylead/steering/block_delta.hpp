#ifndef BILBERRYLEAD_STEERING_BLOCK_DELTA_HPP
#define BILBERRYLEAD_STEERING_BLOCK_DELTA_HPP

#include "bilberrylead/steering/address_block.hpp"
#include "bilberrylead/steering/block_entry.hpp"

#include <vector>

namespace bilberrylead::steering
{

/// A block and the value assigned to it.
struct valued_block
{
    /// The address block.
    address_block block;
    /// The value that a look-up of its addresses returns.
    block_value value = 0;
};

/// Difference between two revisions of a block table. The removals are
/// applied before the additions.
struct block_delta
{
    /// Blocks to remove; each must be in the table.
    std::vector<address_block> removed;
    /// Blocks to add, and blocks whose value changes.
    std::vector<valued_block> set;
};

} // namespace bilberrylead::steering

#endif
