#ifndef BILBERRYLEAD_DISCOVERY_LISTING_DELIVERY_HPP
#define BILBERRYLEAD_DISCOVERY_LISTING_DELIVERY_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_position.hpp"

#include <cstddef>
#include <optional>
#include <set>

namespace bilberrylead::discovery
{

/// How one listing reached the entry hosts.
struct delivery_report
{
    /// The listing.
    list_position position;
    /// Number of entry hosts that it was sent to.
    std::size_t hosts = 0;
    /// Number of them that confirmed it.
    std::size_t confirmed = 0;
    /// The last of these to do so; empty if there is none.
    host_id slowest;
    /// Time from the sending of the listing to that confirmation.
    duration slowest_time{};
};

/// Tracks which entry hosts have confirmed the last listing that was sent. Only
/// one listing is tracked at a time. For use by one thread.
class listing_delivery
{
public:
    /// Starts to track a listing that is being sent to `hosts`. Returns the
    /// report on the previous one if some hosts have not confirmed it.
    std::optional<delivery_report>
    record_sent(list_position position, std::set<host_id> hosts, instant now);

    /// Records that a host uses a listing. Returns the report if this was the
    /// last confirmation that was missing.
    std::optional<delivery_report>
    record_confirmed(host_id const& host, list_position position, instant now);

private:
    delivery_report current;
    instant sent_at{};
    std::set<host_id> unconfirmed;
};

} // namespace bilberrylead::discovery

#endif
