#include "bilberrylead/daemon/entry_program_parts.hpp"

#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/link/admission_conversion.hpp"

#include <set>
#include <utility>
#include <vector>

/// What an entry host reports on upstreams and customers, and the hosts to
/// which it may pass requests on.
namespace bilberrylead::daemon
{

namespace
{

constexpr part_log log{"entry"};

} // namespace

void entry_program::implementation::tell_crashes(
    entry::send_crash_records const& wanted)
{
    link::crash_report const report{wanted.records};
    for (auto const& [number, peer] : this->links)
    {
        if (!wanted.only_to.has_value() || number == *wanted.only_to)
        {
            this->send(number, report);
        }
    }
}

/// Some control hosts pass it on; neighbours receive it directly.
void entry_program::implementation::tell_limits(
    entry::send_limits const& wanted)
{
    std::vector<host_id> linked_hosts;
    for (auto const& [number, peer] : this->links)
    {
        if (peer.role == link::peer_role::control)
        {
            linked_hosts.push_back(peer.id);
        }
    }
    std::set<host_id> receivers =
        this->control_links.report_links(linked_hosts, this->settings.zone);
    link::limit_notice const notice{this->settings.id, wanted.reports};
    for (auto const& [number, peer] : this->links)
    {
        // There may be two links to one control host.
        if (peer.role != link::peer_role::control ||
            receivers.erase(peer.id) > 0)
        {
            this->send(number, notice);
        }
    }
}

void entry_program::implementation::send_customer_report(
    entry::send_customer_report const& effect)
{
    for (auto const& [number, peer] : this->links)
    {
        if (peer.role == link::peer_role::control && peer.id == this->leader)
        {
            this->send(number, link::customer_usage_report{effect.report});
            return;
        }
    }
}

void entry_program::implementation::on_admission_plan(
    link::admission_shares const& shares)
{
    // A control host that was cut off passes an old plan on.
    if (!this->plans.accept_admission(shares.number))
    {
        return;
    }
    entry::admission_plan_received received;
    received.age = shares.age;
    received.source = this->leader;
    received.plans.reserve(shares.services.size());
    for (link::admission_rows const& each : shares.services)
    {
        received.plans.push_back(link::to_plan(each, this->settings.region));
    }
    this->server->dispatch(std::move(received));
}

/// Only the leader plans, so that the other control hosts receive no demand.
void entry_program::implementation::add_admission_demand(
    link::link_number to, link::entry_presence& presence)
{
    auto const peer = this->links.find(to);
    if (peer != this->links.end() &&
        this->admission_reports.take_turn(peer->second.id, clock_now()))
    {
        presence.admission = link::to_rows(this->server->admission_demands());
    }
}

void entry_program::implementation::on_contact_changed(
    entry::upstream_contact_changed const& changed)
{
    this->has_upstream_contact = !changed.lost;
    if (changed.lost)
    {
        log.warning("No upstream can be reached from this host; requests are "
                    "passed on to other entry hosts.");
    }
    else
    {
        log.info("Upstreams can be reached again.");
    }
    for (auto const& [number, peer] : this->links)
    {
        if (peer.role == link::peer_role::control)
        {
            this->tell_contact(number);
        }
    }
}

void entry_program::implementation::tell_contact(link::link_number to)
{
    this->send(to, link::upstream_contact_notice{!this->has_upstream_contact});
}

void entry_program::implementation::on_relay_hosts(
    link::relay_host_list const& list)
{
    entry::relay_hosts_received received;
    received.hosts.reserve(list.hosts.size());
    for (link::relay_host const& each : list.hosts)
    {
        received.hosts.push_back({each.id, each.address, each.region});
    }
    this->server->dispatch(std::move(received));
}

} // namespace bilberrylead::daemon
