#include "bilberrylead/discovery/listing_delivery.hpp"

#include <utility>

namespace bilberrylead::discovery
{

std::optional<delivery_report>
listing_delivery::record_sent(list_position position, std::set<host_id> hosts,
                              instant now)
{
    std::optional<delivery_report> incomplete;
    if (!this->unconfirmed.empty())
    {
        incomplete = this->current;
    }
    this->current = {position, hosts.size(), 0, {}, {}};
    this->sent_at = now;
    this->unconfirmed = std::move(hosts);
    return incomplete;
}

std::optional<delivery_report>
listing_delivery::record_confirmed(host_id const& host, list_position position,
                                   instant now)
{
    if (position < this->current.position || this->unconfirmed.erase(host) == 0)
    {
        return std::nullopt;
    }
    ++this->current.confirmed;
    this->current.slowest = host;
    this->current.slowest_time = now - this->sent_at;
    return this->unconfirmed.empty() ? std::optional(this->current)
                                     : std::nullopt;
}

} // namespace bilberrylead::discovery
