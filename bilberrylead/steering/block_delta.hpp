#ifndef BILBERRYLEAD_STEERING_BLOCK_DELTA_HPP
#define BILBERRYLEAD_STEERING_BLOCK_DELTA_HPP

#include "bilberrylead/steering/address_block.hpp"
#include "bilberrylead/steering/block_entry.hpp"

#include <vector>

namespace bilberrylead::steering
{

/// A block and what it stands for.
struct valued_block
{
    /// The addresses.
    address_block block;
    /// What they stand for.
    block_value value = 0;
};

/// What changes between two revisions of a block table. Applied in order:
/// first the removals.
struct block_delta
{
    /// Blocks that are no longer there; each must be there before.
    std::vector<address_block> removed;
    /// Blocks that are new or stand for something else.
    std::vector<valued_block> set;
};

} // namespace bilberrylead::steering

#endif
