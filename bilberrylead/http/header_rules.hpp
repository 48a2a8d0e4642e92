#ifndef BILBERRYLEAD_HTTP_HEADER_RULES_HPP
#define BILBERRYLEAD_HTTP_HEADER_RULES_HPP

#include "bilberrylead/http/net.hpp"

#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace bilberrylead::http
{

/// Milliseconds the sender still waits.
inline constexpr std::string_view deadline_header = "Bilberry-Deadline-Ms";
/// The caller's account.
inline constexpr std::string_view caller_header = "Bilberry-Caller";
/// The request's id, to the upstream and back.
inline constexpr std::string_view request_id_header = "Bilberry-Request-Id";
/// The final answer's kind: done, not-run or unknown.
inline constexpr std::string_view outcome_header = "Bilberry-Outcome";
/// Set to 1 by an upstream in a 503: nothing was run.
inline constexpr std::string_view not_run_header = "Bilberry-Not-Run";
/// Set to 1 by an upstream that is leaving.
inline constexpr std::string_view leaving_header = "Bilberry-Leaving";
/// Set to 1 in an answer from a record that holds the status only.
inline constexpr std::string_view body_dropped_header = "Bilberry-Body-Dropped";
/// Names a piece of work that may run at most once.
inline constexpr std::string_view key_header = "Idempotency-Key";
/// "1": the caller sent this before and had no answer.
inline constexpr std::string_view repeat_header = "Bilberry-Repeat";

/// Removes the headers that speak of one connection only, and those that
/// Connection names.
void strip_connection_headers(beast::http::fields& fields);

/// Removes the headers that are between upstreams and this system.
void strip_upstream_headers(beast::http::fields& fields);

} // namespace bilberrylead::http

#endif
