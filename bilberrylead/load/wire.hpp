#ifndef BILBERRYLEAD_LOAD_WIRE_HPP
#define BILBERRYLEAD_LOAD_WIRE_HPP

#include <string_view>

/// Header names that callers, entry hosts and upstreams share.
namespace bilberrylead::load
{

/// The caller's own name for a request; an upstream counts runs by it and
/// echoes it.
inline constexpr std::string_view caller_request_header = "X-Caller-Request";
/// Who sends the request.
inline constexpr std::string_view caller_header = "Bilberry-Caller";
/// The entry host's name for a request; an upstream echoes it.
inline constexpr std::string_view request_id_header = "Bilberry-Request-Id";
/// Milliseconds that are left for the request.
inline constexpr std::string_view deadline_header = "Bilberry-Deadline-Ms";
/// On an upstream's 503: the request was not run, not in part either.
inline constexpr std::string_view not_run_header = "Bilberry-Not-Run";
/// On any answer of an upstream: it takes no new work.
inline constexpr std::string_view leaving_header = "Bilberry-Leaving";
/// On any answer of an upstream: requests a second that it takes.
inline constexpr std::string_view limit_header = "Bilberry-Limit";
/// On any answer of an upstream: running, waiting, slots, run time in percent.
inline constexpr std::string_view load_header = "Bilberry-Load";
/// Identifies the customer of a request.
inline constexpr std::string_view customer_key_header = "Bilberry-Key";
/// XXH3 of an answer's body in hexadecimal.
inline constexpr std::string_view digest_header = "Bilberry-Digest";
/// On a final answer of an entry host: done, not-run or unknown.
inline constexpr std::string_view outcome_header = "Bilberry-Outcome";
/// Names a piece of work that may run at most once.
inline constexpr std::string_view repeat_header = "Bilberry-Repeat";
inline constexpr std::string_view idempotency_header = "Idempotency-Key";
/// Seconds after which to come back.
inline constexpr std::string_view retry_after_header = "Retry-After";

} // namespace bilberrylead::load

#endif
