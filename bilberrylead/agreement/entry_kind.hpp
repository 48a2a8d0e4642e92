#ifndef BILBERRYLEAD_AGREEMENT_ENTRY_KIND_HPP
#define BILBERRYLEAD_AGREEMENT_ENTRY_KIND_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// The purpose of a log entry.
enum class entry_kind : std::uint8_t
{
    /// No payload: the first entry of a new leader, which lets it commit the
    /// entries of earlier terms.
    no_op,
    /// A command for the state machine.
    command,
    /// A new membership of the group; the payload is an encoded membership.
    membership,
};

} // namespace bilberrylead::agreement

#endif
