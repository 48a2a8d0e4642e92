#ifndef BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_SETTINGS_HPP
#define BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_SETTINGS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::once_client
{

/// How an entry host asks the control hosts for claims.
struct once_client_settings
{
    /// This entry host.
    host_id self;
    /// This life of its process; larger than that of any earlier one.
    std::uint64_t incarnation = 0;
    /// How long a claim may wait for its verdict before the caller hears
    /// "not run". Two round trips between regions (140 ms) and a sync fit
    /// several times; an election (1.4 s) does not, since a caller that is
    /// told at once when to come back is better off than one that hangs.
    duration claim_timeout = std::chrono::milliseconds(1000);
    /// When an unanswered message is sent again: beyond a slow round trip,
    /// so that resends are rare.
    duration resend_interval = std::chrono::milliseconds(400);
    /// Reports that may wait to be recorded. Beyond it the oldest is given
    /// up, and its record falls due as outcome unknown by itself.
    std::size_t max_open_reports = 10000;
    /// Claims that may wait for a verdict; more are refused at once.
    std::size_t max_open_claims = 4096;
    /// What a refused caller is told to wait: an election and a little.
    duration retry_after = std::chrono::seconds(2);
};

} // namespace bilberrylead::once_client

#endif
