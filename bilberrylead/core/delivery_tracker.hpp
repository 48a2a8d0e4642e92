#ifndef BILBERRYLEAD_CORE_DELIVERY_TRACKER_HPP
#define BILBERRYLEAD_CORE_DELIVERY_TRACKER_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <concepts>
#include <cstddef>
#include <optional>
#include <set>
#include <utility>

namespace bilberrylead
{

/// How one version of something reached the entry hosts.
template <std::totally_ordered Version>
struct delivery_report
{
    /// The version.
    Version position{};
    /// Number of entry hosts that it was sent to.
    std::size_t hosts = 0;
    /// Number of them that confirmed it.
    std::size_t confirmed = 0;
    /// The last of these to do so; empty if there is none.
    host_id slowest;
    /// Time from the sending of the version to that confirmation.
    duration slowest_time{};
};

/// Tracks which entry hosts have confirmed the last version that was sent. Only
/// one version is tracked at a time. For use by one thread.
template <std::totally_ordered Version>
class delivery_tracker
{
public:
    /// Starts to track a version that is being sent to `hosts`. Returns the
    /// report on the previous one if some hosts have not confirmed it.
    std::optional<delivery_report<Version>>
    record_sent(Version position, std::set<host_id> hosts, instant now)
    {
        std::optional<delivery_report<Version>> incomplete;
        if (!this->unconfirmed.empty())
        {
            incomplete = this->current;
        }
        this->current = {position, hosts.size(), 0, {}, {}};
        this->sent_at = now;
        this->unconfirmed = std::move(hosts);
        return incomplete;
    }

    /// Records that a host uses a version. Returns the report if this was the
    /// last confirmation that was missing.
    std::optional<delivery_report<Version>>
    record_confirmed(host_id const& host, Version position, instant now)
    {
        if (position < this->current.position ||
            this->unconfirmed.erase(host) == 0)
        {
            return std::nullopt;
        }
        ++this->current.confirmed;
        this->current.slowest = host;
        this->current.slowest_time = now - this->sent_at;
        return this->unconfirmed.empty() ? std::optional(this->current)
                                         : std::nullopt;
    }

private:
    delivery_report<Version> current;
    instant sent_at{};
    std::set<host_id> unconfirmed;
};

} // namespace bilberrylead

#endif
