#ifndef BILBERRYLEAD_POLICY_LIMIT_REPORT_HPP
#define BILBERRYLEAD_POLICY_LIMIT_REPORT_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <optional>

namespace bilberrylead::policy
{

/// What one entry host knows and did about an upstream's limit.
struct limit_report
{
    /// The upstream.
    upstream_id upstream;
    /// Requests a second that it takes from all entry hosts; nothing: it
    /// names no limit any more.
    std::optional<double> per_second;
    /// Time since an answer of the upstream said so.
    duration age{};
    /// Requests that the host has sent it since it knows of the limit.
    std::uint64_t sent = 0;
};

} // namespace bilberrylead::policy

#endif
