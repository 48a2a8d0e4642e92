#ifndef BILBERRYLEAD_CATALOG_CATALOG_HPP
#define BILBERRYLEAD_CATALOG_CATALOG_HPP

#include "bilberrylead/catalog/audit_entry.hpp"
#include "bilberrylead/catalog/catalog_settings.hpp"
#include "bilberrylead/catalog/change_command.hpp"
#include "bilberrylead/catalog/change_outcome.hpp"
#include "bilberrylead/catalog/stored_revision.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>

namespace bilberrylead::catalog
{

/// The accepted configurations: a state machine that every replica runs
/// over the log. Of changes that race from one base the first in the log
/// wins, whoever sent it; the others learn who won. No clock, no
/// randomness. Used by one thread.
class catalog
{
public:
    /// Makes a catalog without a configuration: revision 0.
    explicit catalog(catalog_settings const& bounds = {});

    /// Decides a change. A change that was decided before gets the same
    /// answer again.
    change_outcome apply(change_command const& command);

    /// The accepted revision, 0 if there is none yet.
    revision current_revision() const;
    /// The current document; nullptr before the first change. Valid until
    /// the next apply().
    stored_revision const* current() const;
    /// A recent revision's document, or nullptr if it is no longer (or not
    /// yet) held. Valid until the next apply().
    stored_revision const* find(revision wanted) const;
    /// The audit trail, oldest first; at most catalog_settings::audit_window
    /// entries.
    std::deque<audit_entry> const& audit_trail() const;

    /// The whole state as bytes; equal states give equal bytes.
    bytes encode() const;
    /// The state that encode() gave. Fails on other bytes, and on a state
    /// that was built with other bounds.
    static absl::StatusOr<catalog> decode(catalog_settings const& bounds,
                                          std::span<std::uint8_t const> input);

private:
    change_outcome decide(change_command const& command) const;
    change_conflict conflict_of(change_command const& command) const;
    audit_entry const* first_entry(change_id const& change) const;
    void record(change_command const& command, std::uint64_t digest,
                change_outcome const& result);
    void remember(audit_entry const& entry);
    void drop_old_revisions();

    catalog_settings settings;
    revision latest = 0;
    std::deque<stored_revision> revisions;
    std::uint64_t document_bytes = 0;
    std::deque<audit_entry> trail;
    std::uint64_t audited = 0;
    std::unordered_map<change_id, std::uint64_t> first_number;
    std::unordered_map<revision, std::uint64_t> accepted_number;
};

} // namespace bilberrylead::catalog

#endif
