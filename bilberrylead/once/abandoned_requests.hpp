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
/// told that it is another's. A copy of such a claim
/// may still be on its way; granted, nobody would run the work, and every
/// repeat would wait for a run that never comes. One mark a key is not
/// enough: several requests may give up the same key one after another.
/// Bounded; the oldest mark goes first. Used by one thread.
class abandoned_requests
{
public:
    /// A request and when its mark goes, in time of the log.
    struct entry
    {
        /// When it goes.
        duration expires_at{};
        /// The request.
        work_digest request;
    };

    /// Marks kept at most: longer than a claim's message is on its way at
    /// 80 releases a second, and 6 MB.
    static constexpr std::size_t max_size = 50'000;

    /// Marks a request; marking it again changes nothing. `due` never goes
    /// back from call to call.
    void add(work_digest const& request, duration expires_at);

    /// True while the request is marked.
    bool contains(work_digest const& request) const;

    /// Drops the marks that are due.
    void expire(duration now);

    /// All marks, oldest first, for the snapshot.
    std::deque<entry> const& all() const;

private:
    void drop_oldest();

    std::deque<entry> entries;
    std::set<work_digest> requests;
};

} // namespace bilberrylead::once

#endif
