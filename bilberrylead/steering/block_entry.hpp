#ifndef BILBERRYLEAD_STEERING_BLOCK_ENTRY_HPP
#define BILBERRYLEAD_STEERING_BLOCK_ENTRY_HPP

#include <cstdint>

namespace bilberrylead::steering
{

/// Value of a block, below block_value_limit: the index of its zone and
/// labels, which many blocks share.
using block_value = std::uint32_t;

/// Exclusive upper bound of a block_value, so that value and prefix length
/// fit into 32 bits.
inline constexpr block_value block_value_limit = 1U << 24U;

/// Prefix length and value of a block, packed into 32 bits: the length in
/// the upper 8, the value in the lower 24.
class packed_block
{
public:
    /// Prefix length 0, value 0.
    packed_block() = default;

    /// `length` is in bits; `value` must be below block_value_limit.
    packed_block(unsigned length, block_value value)
        : packed(length << 24U | value)
    {
    }

    /// Returns the prefix length in bits.
    unsigned length() const
    {
        return this->packed >> 24U;
    }

    /// Returns the value of the block.
    block_value value() const
    {
        return this->packed & (block_value_limit - 1);
    }

private:
    std::uint32_t packed = 0;
};

/// A block with keys of one type, as input to building a table.
template <class Key>
struct block_entry
{
    /// First address of the block.
    Key start{};
    /// Prefix length and value.
    packed_block block;
};

/// Returns true if `left` sorts before `right`: by first address, then by
/// prefix length, so that an enclosing block precedes the blocks within it.
template <class Key>
bool sorts_before(block_entry<Key> const& left, block_entry<Key> const& right)
{
    return left.start != right.start
               ? left.start < right.start
               : left.block.length() < right.block.length();
}

} // namespace bilberrylead::steering

#endif
