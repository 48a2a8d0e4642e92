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

/// Waiting requests, callers served in turn.
///
/// Load it answers: a few callers that send most of the requests. In first
/// come, first served order their backlog is everybody's wait: one payroll
/// bureau's batch and every other caller's look-up takes as long as the
/// batch. Here a request's turn is the time it came, but at least one round
/// (a turn for each flow that waits) after the turn before it of the same
/// flow. So a caller with one request is served in order of arrival, and a
/// caller with many gets one in each round. Turns are times and not counts:
/// with counts, requests of new callers would come before a second request
/// of a known one for ever, and it would starve (seen as a p99.9 of twice
/// the first come, first served order's).
///
/// Flows are caller hashes in a fixed table: memory does not grow with
/// callers, and two callers who share a row share one turn. All memory is
/// taken at construction.
class fair_queue
{
public:
    /// Makes an empty queue.
    explicit fair_queue(fair_queue_settings const& settings = {});

    /// Adds a request; false, and nothing changes, if the queue is full.
    /// `turn_time` is the time between two slots that come free.
    bool push(waiting_request const& request, duration slot_interval);

    /// The request whose turn is next, or nullptr.
    waiting_request const* peek() const;

    /// Takes out the request whose turn is next.
    std::optional<waiting_request> pop();

    /// Takes out one request; false if it does not wait here.
    bool remove(std::uint64_t ticket);

    /// Takes out one request whose deadline is before `limit`, if any.
    std::optional<waiting_request> pop_expired(instant limit);

    /// Takes out the request whose turn is last among those that may move,
    /// if any.
    std::optional<waiting_request> pop_last_movable();

    /// Requests that wait.
    std::size_t size() const
    {
        return this->heap.size();
    }

    /// Requests that wait of the flow's row.
    std::uint32_t size_of(std::uint32_t flow) const;

    /// Rows that have a request waiting.
    std::uint32_t flows_waiting() const
    {
        return this->busy_buckets;
    }

    /// How many of those that wait would be served before a new request of
    /// the flow.
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
