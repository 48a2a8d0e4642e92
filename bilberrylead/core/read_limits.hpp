#ifndef BILBERRYLEAD_CORE_READ_LIMITS_HPP
#define BILBERRYLEAD_CORE_READ_LIMITS_HPP

#include <cstddef>

namespace bilberrylead
{

/// Maximum bytes that an HTTP reader holds before they are parsed, beside the
/// largest head that it accepts. The parser's limits cover heads and bodies,
/// but not the sizes and extensions of chunks nor the fields behind a body,
/// which must be in the buffer as a whole.
inline constexpr std::size_t max_unparsed_bytes = std::size_t{64} << 10U;

/// Maximum bytes of the name of an HTTP field, and of its value: what the
/// library's container of fields can hold. Applies also where a larger head is
/// allowed.
inline constexpr std::size_t max_field_part_bytes = 65'533;

/// Maximum bytes of all fields behind a body. They are read and dropped.
inline constexpr std::size_t max_trailer_bytes = std::size_t{32} << 10U;

} // namespace bilberrylead

#endif
