#ifndef BILBERRYLEAD_CATALOG_CHANGE_COMMAND_HPP
#define BILBERRYLEAD_CATALOG_CHANGE_COMMAND_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <string>

namespace bilberrylead::catalog
{

/// An operator's change, checked before it was proposed.
struct change_command
{
    /// Names the change; a resend carries the same one.
    change_id change;
    /// The revision that the operator started from.
    revision base_revision = 0;
    /// Who changes it, for the audit trail.
    std::string operator_name;
    /// Wall time of the leader that proposed it; only shown, never compared.
    wall_time accepted_at;
    /// The whole configuration as its author wrote it.
    bytes document;

    friend bool operator==(change_command const&,
                           change_command const&) = default;
};

} // namespace bilberrylead::catalog

#endif
