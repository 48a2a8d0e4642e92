#ifndef BILBERRYLEAD_STEERING_BLOCK_MATCH_HPP
#define BILBERRYLEAD_STEERING_BLOCK_MATCH_HPP

#include "bilberrylead/steering/block_entry.hpp"

namespace bilberrylead::steering
{

/// Result of a look-up: the longest block that contains the address.
struct block_match
{
    /// Value of the block.
    block_value value = 0;
    /// Prefix length of the block, in bits. All addresses that share this
    /// prefix and are not within a longer block have the same result.
    unsigned length = 0;

    friend bool operator==(block_match const&, block_match const&) = default;
};

} // namespace bilberrylead::steering

#endif
