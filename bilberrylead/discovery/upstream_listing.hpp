#ifndef BILBERRYLEAD_DISCOVERY_UPSTREAM_LISTING_HPP
#define BILBERRYLEAD_DISCOVERY_UPSTREAM_LISTING_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_changes.hpp"
#include "bilberrylead/discovery/list_position.hpp"
#include "bilberrylead/discovery/listed_upstream.hpp"

#include <map>
#include <optional>
#include <vector>

namespace bilberrylead::discovery
{

/// What became of changes that were handed to a listing.
enum class apply_result
{
    /// The listing is the one that they lead to.
    applied,
    /// They lead to a listing that is not newer.
    not_newer,
    /// They start from another listing than the one held: ask for all of it.
    base_mismatch,
};

/// The upstreams as one process knows them: read from the list itself, or
/// told by others. Never goes back to an older position. One thread.
class upstream_listing
{
public:
    /// Takes what was read from the list itself; the position grows if
    /// anything changed, or if `term` is newer. Returns what to tell others,
    /// nothing if nothing is new.
    std::optional<list_changes>
    apply_reading(std::vector<listed_upstream> const& found, std::uint64_t term,
                  instant now);

    /// Takes of a part of the list what can't wait for the rest of it:
    /// upstreams that are leaving now and were not before. Returns what to
    /// tell others, nothing if there is none, or if the listing held is not
    /// of `term`: a whole reading comes first then.
    ///
    /// Load it answers: a list of many pages in another region takes seconds
    /// to read; a leaving upstream on its first page got requests all that
    /// time, and as long again if it left just after that page was read.
    std::optional<list_changes>
    apply_leaving(std::vector<listed_upstream> const& part, std::uint64_t term,
                  instant now);

    /// Takes what another process told.
    apply_result apply(list_changes const& changes, instant now);

    /// All of it, for a process that has another base.
    list_changes full_listing(instant now) const;

    /// Which listing this is.
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
    void advance(list_changes& changes, std::uint64_t term);

    list_position current;
    std::map<upstream_id, listed_upstream> entries;
};

} // namespace bilberrylead::discovery

#endif
