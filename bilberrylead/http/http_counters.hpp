#ifndef BILBERRYLEAD_HTTP_HTTP_COUNTERS_HPP
#define BILBERRYLEAD_HTTP_HTTP_COUNTERS_HPP

#include "bilberrylead/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace bilberrylead::http
{

/// What the caller and upstream sides count, for metrics.
struct http_counters
{
    /// Gauge: callers' connections open now.
    std::size_t caller_connections = 0;
    /// Gauge: bytes of bodies held now.
    std::size_t memory_in_use = 0;
    /// Callers' connections turned away because there were too many.
    std::uint64_t connections_refused = 0;
    /// Requests that were no valid HTTP, too large or too slow.
    std::uint64_t bad_requests = 0;
    /// Answers that broke off after they had begun.
    std::uint64_t answers_cut = 0;
    /// Pieces of long answers that waited for their turn on the link.
    std::uint64_t pieces_paced = 0;
    /// Time that they waited, all together.
    duration paced{};
    /// Requests dispatched while an earlier one of their connection was
    /// unanswered.
    std::uint64_t pipelined_requests = 0;
    /// Answers held in memory until their turn.
    std::uint64_t answers_held = 0;
    /// Held answers that broke off and were replaced by an error.
    std::uint64_t held_answers_broken = 0;
    /// Gauge: bytes reserved for held answers now.
    std::size_t held_answer_bytes = 0;
    /// The most that were reserved at one time since the start.
    std::size_t held_answer_bytes_peak = 0;
    /// Connections that ended with dispatched requests behind the first.
    std::uint64_t connections_cut_short = 0;
    /// Connections to upstreams that were opened.
    std::uint64_t upstream_opened = 0;
    /// Exchanges that used a connection kept from an earlier one.
    std::uint64_t upstream_reused = 0;
    /// Kept connections closed because a sibling fell silent.
    std::uint64_t upstream_suspects_closed = 0;
    /// Answers that carried another request's id.
    std::uint64_t answers_of_others = 0;
    /// Load reports of upstreams that could not be parsed and were ignored.
    std::uint64_t load_reports_unreadable = 0;
    /// Gauge: kept connections that are idle now.
    std::size_t upstream_idle = 0;
};

} // namespace bilberrylead::http

#endif
