#ifndef BILBERRYLEAD_AGREEMENT_ENTRY_KIND_HPP
#define BILBERRYLEAD_AGREEMENT_ENTRY_KIND_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// What a log entry is for.
enum class entry_kind : std::uint8_t
{
    /// Nothing; a new leader's first entry, which lets it commit the rest.
    no_op,
    /// A change for the state machine.
    command,
    /// The group's next membership; the payload is an encoded membership.
    membership,
};

} // namespace bilberrylead::agreement

#endif
