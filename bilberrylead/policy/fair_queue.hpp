#ifndef BILBERRYLEAD_POLICY_FAIR_QUEUE_HPP
#define BILBERRYLEAD_POLICY_FAIR_QUEUE_HPP

#include "bilberrylead/policy/fair_queue_settings.hpp"
#include "bilberrylead/policy/waiting_request.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bilberrylead::policy
{

/// Fair queue: waiting requests, with the callers served in round robin.
///
/// Protects against a few callers that send most of the requests. In first
/// come, first served order their backlog delays everybody: after a batch of
/// one payroll bureau, the look-up of every other caller takes as long as the
/// batch. Here a request is served in the order of its start tag. The tag is
/// the arrival time, but at least one round (one slot for each waiting flow)
/// after the tag of the previous request of the same flow. A caller with one
/// request is thus served in order of arrival, and a caller with many gets
/// one slot in each round. Start tags are times, not counts: with counts the
/// requests of new callers would always precede the second request of an
/// earlier caller, and it would starve (its p99.9 was twice that of first
/// come, first served).
///
/// A flow is the hash of a caller, in a table of fixed size: memory does not
/// grow with the number of callers, and callers in the same bucket share one
/// turn in each round. All memory is allocated at construction.
class fair_queue
{
public:
    /// Creates an empty queue.
    explicit fair_queue(fair_queue_settings const& settings = {});

    /// Adds a request. Returns false and changes nothing if the queue is full.
    /// `slot_interval` is the time between two slots that come free.
    bool push(waiting_request const& request, duration slot_interval);

    /// The request that is served next, or nullptr.
    waiting_request const* peek() const;

    /// Removes and returns the request that is served next.
    std::optional<waiting_request> pop();

    /// Removes one request; false if it is not in the queue.
    bool remove(std::uint64_t ticket);

    /// Removes and returns one request whose deadline is before `limit`, if
    /// any.
    std::optional<waiting_request> pop_expired(instant limit);

    /// Removes and returns the request that would be served last among those
    /// that may move, if any.
    std::optional<waiting_request> pop_last_movable();

    /// Number of waiting requests.
    std::size_t size() const
    {
        return this->heap.size();
    }

    /// Number of waiting requests in the flow's bucket.
    std::uint32_t size_of(std::uint32_t flow) const;

    /// Number of buckets with a waiting request.
    std::uint32_t flows_waiting() const
    {
        return this->busy_buckets;
    }

    /// Number of waiting requests that would be served before a new request
    /// of the flow.
    std::size_t count_ahead_of(std::uint32_t flow, instant now,
                               duration slot_interval) const;

private:
    struct entry
    {
        instant start_tag;
        std::uint64_t order = 0;
        waiting_request request;
    };

    struct bucket
    {
        instant last_start_tag;
        std::uint32_t waiting = 0;
    };

    static bool starts_later(entry const& left, entry const& right);
    bucket& bucket_of(std::uint32_t flow);
    bucket const& bucket_of(std::uint32_t flow) const;
    instant next_start_tag(std::uint32_t flow, instant now,
                           duration slot_interval) const;
    waiting_request remove_at(std::size_t index);

    std::size_t capacity;
    bool by_flow;
    std::vector<entry> heap;
    std::vector<bucket> buckets;
    std::uint64_t next_order = 0;
    std::uint32_t busy_buckets = 0;
};

} // namespace bilberrylead::policy

#endif
