#ifndef BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_SETTINGS_HPP
#define BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_SETTINGS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::once_client
{

/// Settings of once_client.
struct once_client_settings
{
    /// The id of this entry host.
    host_id self;
    /// Incarnation of this process; larger than that of any earlier process
    /// of this host.
    std::uint64_t incarnation = 0;
    /// How long a claim may wait for its verdict before the caller receives
    /// "not run". Several times two round trips between regions (140 ms) and
    /// a sync, but shorter than an election (1.4 s): a prompt refusal with a
    /// retry time serves a caller better than a long wait.
    duration claim_timeout = std::chrono::milliseconds(1000);
    /// Time without a reply after which a message is resent. Longer than a
    /// slow round trip, so that resends are rare.
    duration resend_interval = std::chrono::milliseconds(400);
    /// Maximum number of reports without a reply. Beyond it the oldest is
    /// dropped; its record later expires with an unknown outcome.
    std::size_t max_open_reports = 10000;
    /// Maximum number of claims without a verdict; further claims are refused
    /// at once.
    std::size_t max_open_claims = 4096;
    /// Retry delay sent to a refused caller; slightly longer than an election.
    duration retry_after = std::chrono::seconds(2);
};

} // namespace bilberrylead::once_client

#endif
