#ifndef BILBERRYLEAD_CORE_BYTES_HPP
#define BILBERRYLEAD_CORE_BYTES_HPP

#include <cstdint>
#include <vector>

namespace bilberrylead
{

/// An encoded message or record. Owned by value.
using bytes = std::vector<std::uint8_t>;

} // namespace bilberrylead

#endif
