#ifndef BILBERRYLEAD_ONCE_REGISTRATION_HPP
#define BILBERRYLEAD_ONCE_REGISTRATION_HPP

#include <cstddef>
#include <cstdint>

namespace bilberrylead::once
{

/// Result of register_entry_host.
struct registration
{
    /// True if the requested incarnation is the valid one.
    bool accepted = false;
    /// The valid incarnation; a host that was refused must use a larger one.
    std::uint64_t incarnation = 0;
    /// Number of open claims of previous incarnations that became unknown.
    std::size_t outcomes_unknown = 0;

    friend bool operator==(registration const&, registration const&) = default;
};

} // namespace bilberrylead::once

#endif
