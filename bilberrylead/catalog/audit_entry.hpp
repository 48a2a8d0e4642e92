#ifndef BILBERRYLEAD_CATALOG_AUDIT_ENTRY_HPP
#define BILBERRYLEAD_CATALOG_AUDIT_ENTRY_HPP

#include "bilberrylead/catalog/change_outcome.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <string>

namespace bilberrylead::catalog
{

/// One change in the audit trail: who, when, what, from which revision and
/// with which result.
struct audit_entry
{
    /// Position in the trail, from 1; grows without gaps.
    std::uint64_t number = 0;
    /// The change's id.
    change_id change;
    /// Who sent it.
    std::string operator_name;
    /// When the leader proposed it.
    wall_time accepted_at;
    /// The revision it started from.
    revision base_revision = 0;
    /// Digest of its document (XXH64).
    std::uint64_t document_digest = 0;
    /// Size of its document, bytes.
    std::uint64_t document_bytes = 0;
    /// What became of it.
    change_outcome result;

    friend bool operator==(audit_entry const&, audit_entry const&) = default;
};

} // namespace bilberrylead::catalog

#endif
