#ifndef BILBERRYLEAD_STEERING_BLOCK_ENTRY_HPP
#define BILBERRYLEAD_STEERING_BLOCK_ENTRY_HPP

#include <cstdint>

namespace bilberrylead::steering
{

/// Number that a block stands for, below block_value_limit: the index of
/// its zone and labels, which many blocks share.
using block_value = std::uint32_t;

/// First number that is too large for a block_value.
inline constexpr block_value block_value_limit = 1U << 24U;

/// Length and value of a block in four bytes.
class packed_block
{
public:
    /// Length 0, value 0.
    packed_block() = default;

    /// Packs both.
    packed_block(unsigned length, block_value value)
        : packed(length << 24U | value)
    {
    }

    /// Bits that the block's addresses share.
    unsigned length() const
    {
        return this->packed >> 24U;
    }

    /// What the block stands for.
    block_value value() const
    {
        return this->packed & (block_value_limit - 1);
    }

private:
    std::uint32_t packed = 0;
};

/// A block of one family while tables are built.
template <class Key>
struct block_entry
{
    /// Its first address.
    Key start{};
    /// Its length and value.
    packed_block block;
};

/// True if `left` sorts before `right`: by first address, then the block
/// that holds the other first.
template <class Key>
bool sorts_before(block_entry<Key> const& left, block_entry<Key> const& right)
{
    return left.start != right.start
               ? left.start < right.start
               : left.block.length() < right.block.length();
}

} // namespace bilberrylead::steering

#endif
