#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/control/refusals.hpp"

#include <cstddef>
#include <map>
#include <utility>

/// Division of the customers' limits among entry hosts.
namespace bilberrylead::control
{

namespace
{

constexpr std::size_t max_reported_customers = 100;

} // namespace

void control_reducer::on_peer(link::link_number from,
                              link::customer_usage_report const& message)
{
    link::peer_identity const& sender = this->links.at(from);
    if (sender.role == link::peer_role::entry &&
        this->replica.role() == agreement::role::leader)
    {
        this->limits.record(sender.id, sender.incarnation, message.content,
                            this->time);
    }
}

void control_reducer::handle_request(operator_request_received const& received,
                                     read_customers const&)
{
    if (this->replica.role() != agreement::role::leader)
    {
        this->answer(received.number, not_leader(this->replica.leader()));
        return;
    }
    customers_reply reply;
    reply.rows = this->limits.status(max_reported_customers, this->time);
    reply.omitted = this->limits.customers_in_use() - reply.rows.size();
    this->answer(received.number, std::move(reply));
}

void control_reducer::allocate_limits()
{
    this->peak_entry_hosts = this->known_entry_hosts.record(
        this->entry_hosts.hosts().size(), this->time);
    if (this->replica.role() != agreement::role::leader ||
        !this->limits.is_due(this->time))
    {
        return;
    }
    std::map<host_id, policy::customer_allocation> allocations =
        this->limits.allocate(this->peak_entry_hosts, this->time);
    for (auto const& [number, peer] : this->links)
    {
        auto const found = allocations.find(peer.id);
        if (peer.role == link::peer_role::entry && found != allocations.end())
        {
            this->send(number, link::customer_shares{found->second});
        }
    }
}

} // namespace bilberrylead::control
