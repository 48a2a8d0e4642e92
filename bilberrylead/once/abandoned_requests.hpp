#ifndef BILBERRYLEAD_ONCE_ABANDONED_REQUESTS_HPP
#define BILBERRYLEAD_ONCE_ABANDONED_REQUESTS_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once/work_digest.hpp"

#include <cstddef>
#include <deque>
#include <set>

namespace bilberrylead::once
{

/// Requests that will not run their work: they released their claim, or were
/// answered that another request holds it. A copy of such a claim may still
/// be in flight. If it were granted, no request would run the work, and every
/// repeat would wait for a run that never starts. One entry per key is not
/// enough, because several requests may abandon the same key in succession.
/// Bounded; the oldest entry is dropped first. Used by one thread.
class abandoned_requests
{
public:
    /// An abandoned request and its time of expiry.
    struct entry
    {
        /// Log time at which the entry expires.
        duration expires_at{};
        /// The request.
        work_digest request;
    };

    /// Maximum number of entries, about 6 MB. At 80 releases per second an
    /// entry is kept longer than a claim can be in flight.
    static constexpr std::size_t max_size = 50'000;

    /// Adds a request; no effect if it is already contained. `expires_at`
    /// must not be earlier than in the previous call.
    void add(work_digest const& request, duration expires_at);

    /// True if the request was added and has not expired.
    bool contains(work_digest const& request) const;

    /// Drops the entries whose time of expiry has come, `now` in log time.
    void expire(duration now);

    /// All entries, oldest first, for the snapshot.
    std::deque<entry> const& all() const;

private:
    void drop_oldest();

    std::deque<entry> entries;
    std::set<work_digest> requests;
};

} // namespace bilberrylead::once

#endif
