#ifndef BILBERRYLEAD_POLICY_LIMIT_REPORT_HPP
#define BILBERRYLEAD_POLICY_LIMIT_REPORT_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <optional>

namespace bilberrylead::policy
{

/// One entry host's report about the limit of an upstream.
struct limit_report
{
    /// The upstream.
    upstream_id upstream;
    /// Requests a second that it accepts from all entry hosts together;
    /// nothing if it no longer sets a limit.
    std::optional<double> per_second;
    /// Time since the answer of the upstream that reported this.
    duration age{};
    /// Total number of requests that the host has sent to the upstream since
    /// it received the limit.
    std::uint64_t sent = 0;
};

} // namespace bilberrylead::policy

#endif
