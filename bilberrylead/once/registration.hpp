#ifndef BILBERRYLEAD_ONCE_REGISTRATION_HPP
#define BILBERRYLEAD_ONCE_REGISTRATION_HPP

#include <cstddef>
#include <cstdint>

namespace bilberrylead::once
{

/// What became of a register_entry_host.
struct registration
{
    /// True if the incarnation asked for is the valid one.
    bool accepted = false;
    /// The valid incarnation; a host that was refused takes a larger one.
    std::uint64_t incarnation = 0;
    /// Claims of earlier incarnations whose outcome is unknown since.
    std::size_t outcomes_unknown = 0;

    friend bool operator==(registration const&, registration const&) = default;
};

} // namespace bilberrylead::once

#endif
