#ifndef BILBERRYLEAD_ENTRY_REQUEST_NUMBER_HPP
#define BILBERRYLEAD_ENTRY_REQUEST_NUMBER_HPP

#include <cstdint>

namespace bilberrylead::entry
{

/// Names one caller's request within one process; counted up, never reused.
enum class request_number : std::uint64_t
{
};

} // namespace bilberrylead::entry

#endif
