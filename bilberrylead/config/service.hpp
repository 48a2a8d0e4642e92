#ifndef BILBERRYLEAD_CONFIG_SERVICE_HPP
#define BILBERRYLEAD_CONFIG_SERVICE_HPP

#include "bilberrylead/config/labels.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <string>

namespace bilberrylead::config
{

/// What a request of a service costs its upstream.
enum class work_length
{
    /// Milliseconds: look-ups, postings.
    brief,
    /// Seconds to minutes: bundles and reports.
    extended,
};

/// A public service that callers ask for by name.
struct service
{
    /// Name, unique in the configuration; the first segment of the path
    /// that callers request: /NAME/...
    service_id id;
    /// What selectors match.
    config::labels labels;
    /// True if a request may be run again (look-ups). False (grants,
    /// postings, declarations): never sent twice.
    bool idempotent = false;
    /// True if a request must carry an Idempotency-Key and is claimed on a
    /// quorum before it is forwarded.
    bool guarded = false;
    /// How long a request's work usually takes.
    work_length length = work_length::brief;
    /// Time a request gets when the caller names no deadline; over 0.
    duration deadline = std::chrono::seconds(2);
    /// Longest silence of an upstream within an answer; over 0.
    duration progress_timeout = std::chrono::seconds(10);
    /// Largest request body that is taken, bytes.
    std::size_t largest_request = std::size_t{1} << 20U;
    /// How long an upstream that was started, or lost its caches, is cold;
    /// zero if it never is.
    duration cold_time{};
    /// Requests a second that a cold upstream bears, from all entry hosts
    /// together, in thousandths; 0 is no limit.
    std::uint32_t cold_rate = 0;

    friend bool operator==(service const&, service const&) = default;
};

} // namespace bilberrylead::config

#endif
