#ifndef BILBERRYLEAD_ENTRY_REQUEST_NUMBER_HPP
#define BILBERRYLEAD_ENTRY_REQUEST_NUMBER_HPP

#include <cstdint>

namespace bilberrylead::entry
{

/// Identifies a caller's request within a process; increasing, never reused.
enum class request_number : std::uint64_t
{
};

} // namespace bilberrylead::entry

#endif
