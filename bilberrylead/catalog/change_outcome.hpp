#ifndef BILBERRYLEAD_CATALOG_CHANGE_OUTCOME_HPP
#define BILBERRYLEAD_CATALOG_CHANGE_OUTCOME_HPP

#include "bilberrylead/core/ids.hpp"

#include <string>
#include <variant>

namespace bilberrylead::catalog
{

/// The change is the configuration of this revision.
struct change_accepted
{
    /// The new revision.
    revision accepted = 0;

    friend bool operator==(change_accepted const&,
                           change_accepted const&) = default;
};

/// The change started from a revision that isn't the current one.
struct change_conflict
{
    /// The revision that was current when the change was first decided.
    revision current = 0;
    /// The change that took the revision after the base, empty if it is
    /// older than the audit trail reaches or the base is not reached yet.
    change_id winner;
    /// Whose change that was.
    std::string winner_operator;

    friend bool operator==(change_conflict const&,
                           change_conflict const&) = default;
};

/// The same change came before and was accepted; a resend after a lost
/// answer.
struct change_already_accepted
{
    /// The revision it got then.
    revision accepted = 0;

    friend bool operator==(change_already_accepted const&,
                           change_already_accepted const&) = default;
};

/// The change's id was used before for another change.
struct change_id_reused
{
    friend bool operator==(change_id_reused const&,
                           change_id_reused const&) = default;
};

/// What became of a change.
using change_outcome = std::variant<change_accepted, change_conflict,
                                    change_already_accepted, change_id_reused>;

} // namespace bilberrylead::catalog

#endif
