#ifndef BILBERRYLEAD_LOAD_BODY_PATTERN_HPP
#define BILBERRYLEAD_LOAD_BODY_PATTERN_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace bilberrylead::load
{

/// The body that belongs to one request: bytes that follow from the
/// caller's request id and the position alone. Whoever knows the id can
/// check every byte of an answer of any length, without holding it, and
/// sees another request's answer at once.
class body_pattern
{
public:
    /// The pattern of one request.
    explicit body_pattern(std::string_view request);

    /// Writes the bytes that start at a position of the body.
    void fill(std::uint64_t position, std::span<char> into) const;

    /// True if these are the bytes that start at a position of the body.
    bool matches(std::uint64_t position, std::span<char const> bytes) const;

private:
    std::uint64_t word(std::uint64_t index) const;

    std::uint64_t seed;
};

} // namespace bilberrylead::load

#endif
