#ifndef BILBERRYLEAD_DISCOVERY_UPSTREAM_LISTING_HPP
#define BILBERRYLEAD_DISCOVERY_UPSTREAM_LISTING_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_changes.hpp"
#include "bilberrylead/discovery/list_position.hpp"
#include "bilberrylead/discovery/listed_upstream.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bilberrylead::discovery
{

/// Result of applying changes to a listing.
enum class apply_result
{
    /// The changes were applied; the listing is now at their target.
    applied,
    /// Ignored: their target is not newer than the listing.
    not_newer,
    /// Ignored: their base is not the current listing. The receiver must
    /// request the full listing.
    base_mismatch,
};

/// The upstreams as held by one process, either read from the upstream list
/// or received from another process. Its position never decreases. For use by
/// one thread.
///
/// Finds out when an upstream has started again under its id. All processes
/// learn it from the listing, also those that have missed the listings in
/// between. What shows a later incarnation: another start time; the same id
/// listed as ready after it was listed as leaving, at another address or for
/// another service, or after two whole readings that lacked it. An equal start
/// time shows the same incarnation.
class upstream_listing
{
public:
    /// Applies a complete reading of the upstream list. The position increases
    /// if anything has changed or `term` is newer. Returns the changes to send
    /// to other processes, or nothing if there are none. `is_whole`: every
    /// entry of the list could be decoded.
    std::optional<list_changes>
    apply_reading(std::vector<listed_upstream> const& found, std::uint64_t term,
                  instant now, bool is_whole = true);

    /// Applies the part of an incomplete reading that cannot wait for the
    /// rest: upstreams that are leaving and were not before. Returns the
    /// changes to send to other processes, or nothing if there are none or if
    /// the current listing is not of `term`; a complete reading of that term
    /// must come first then.
    ///
    /// A list of many pages in another region takes seconds to read. Without
    /// this, a leaving upstream on its first page would get requests all that
    /// time, and for twice as long if it left just after that page was read.
    std::optional<list_changes>
    apply_leaving(std::vector<listed_upstream> const& part, std::uint64_t term,
                  instant now);

    /// Applies changes received from another process.
    apply_result apply(list_changes const& changes, instant now);

    /// Returns the full listing, for a process that holds another base.
    list_changes full_listing(instant now) const;

    /// Returns what a process that holds the listing `held` lacks: the
    /// differences if they are still known and are fewer than the upstreams,
    /// otherwise the full listing.
    ///
    /// A host behind a slow link falls behind by a listing or two when its link
    /// is full. The full listing would fill the link further and arrive later
    /// still.
    list_changes changes_since(list_position held, instant now) const;

    /// Position of the current listing.
    list_position position() const
    {
        return this->current;
    }

    /// All upstreams, by id.
    std::map<upstream_id, listed_upstream> const& upstreams() const
    {
        return this->entries;
    }

private:
    /// The upstreams in which a listing differs from the one before it.
    struct recent_change
    {
        list_position base;
        std::vector<upstream_id> upstreams;
    };

    /// An upstream that is not listed any more.
    struct departed_upstream
    {
        /// Its last entry.
        listed_upstream last;
        /// Since when it is not listed.
        instant since{};
        /// Whole readings since then.
        unsigned readings = 0;
    };

    list_position next_position(std::uint64_t term) const;
    list_position incarnation_of(listed_upstream const& found,
                                 list_position next) const;
    void depart(upstream_id const& id, listed_upstream const& last,
                instant now);
    void record_departures(instant now, bool is_whole);
    void advance(list_changes& changes, std::uint64_t term);
    void record_change(list_changes const& changes);

    list_position current;
    std::map<upstream_id, listed_upstream> entries;
    std::map<upstream_id, departed_upstream> departed;
    /// In sequence; the last one led to the current listing.
    std::deque<recent_change> recent;
};

} // namespace bilberrylead::discovery

#endif
