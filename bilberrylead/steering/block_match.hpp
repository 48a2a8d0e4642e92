#ifndef BILBERRYLEAD_STEERING_BLOCK_MATCH_HPP
#define BILBERRYLEAD_STEERING_BLOCK_MATCH_HPP

#include "bilberrylead/steering/block_entry.hpp"

namespace bilberrylead::steering
{

/// The block that an address was found in.
struct block_match
{
    /// What the block stands for.
    block_value value = 0;
    /// Bits of the address that decided: all addresses that share them and
    /// lie in no longer block get the same answer.
    unsigned length = 0;

    friend bool operator==(block_match const&, block_match const&) = default;
};

} // namespace bilberrylead::steering

#endif
