#include "bilberrylead/load/body_pattern.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstring>

namespace bilberrylead::load
{

namespace
{

constexpr std::size_t word_bytes = sizeof(std::uint64_t);

/// The bytes of a part of one word, from `offset` on.
std::span<char const> part_of(std::array<char, word_bytes> const& word,
                              std::size_t offset, std::size_t wanted)
{
    std::size_t const count = std::min(wanted, word_bytes - offset);
    return std::span<char const>(word).subspan(offset, count);
}

} // namespace

body_pattern::body_pattern(std::string_view request)
    : seed(XXH3_64bits(request.data(), request.size()))
{
}

std::uint64_t body_pattern::word(std::uint64_t index) const
{
    // The mixing steps of splitmix64: neighbours share no visible pattern,
    // so bytes that are left out or stand twice never fit by chance.
    std::uint64_t mixed = this->seed + index * 0x9e3779b97f4a7c15U;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

void body_pattern::fill(std::uint64_t position, std::span<char> into) const
{
    while (!into.empty())
    {
        std::array<char, word_bytes> bytes{};
        std::uint64_t const value = this->word(position / word_bytes);
        std::memcpy(bytes.data(), &value, word_bytes);
        std::span<char const> const part =
            part_of(bytes, position % word_bytes, into.size());
        std::copy(part.begin(), part.end(), into.begin());
        into = into.subspan(part.size());
        position += part.size();
    }
}

bool body_pattern::matches(std::uint64_t position,
                           std::span<char const> bytes) const
{
    std::array<char, 4'096> expected{};
    while (!bytes.empty())
    {
        std::size_t const count = std::min(bytes.size(), expected.size());
        this->fill(position, std::span<char>(expected).first(count));
        if (!std::equal(bytes.begin(),
                        bytes.begin() + static_cast<std::ptrdiff_t>(count),
                        expected.begin()))
        {
            return false;
        }
        bytes = bytes.subspan(count);
        position += count;
    }
    return true;
}

} // namespace bilberrylead::load
