#include "bilberrylead/daemon/entry_program_parts.hpp"

#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/link/admission_conversion.hpp"

#include <chrono>
#include <utility>
#include <vector>

/// What an entry host reports on upstreams and customers, and the hosts to
/// which it may pass requests on.
namespace bilberrylead::daemon
{

namespace
{

constexpr part_log log{"entry"};

/// Shortest interval between two reports of the demand for admission. Longer
/// than a heartbeat interval, so that every second heartbeat contains one: a
/// report may be 2 KB long, and control traffic of a host is limited to 5 KB a
/// second.
constexpr std::chrono::milliseconds min_admission_report_interval{750};

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

/// One control host passes it on; neighbours hear it directly.
void entry_program::implementation::tell_limits(
    entry::send_limits const& wanted)
{
    link::limit_notice const notice{this->settings.id, wanted.reports};
    bool told_control = false;
    for (auto const& [number, peer] : this->links)
    {
        bool const is_control = peer.role == link::peer_role::control;
        if (!is_control || !told_control)
        {
            this->send(number, notice);
        }
        told_control = told_control || is_control;
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
    if (shares.number <= this->admission_number)
    {
        return;
    }
    this->admission_number = shares.number;
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
    instant const now = clock_now();
    auto const peer = this->links.find(to);
    if (this->settings.admission != config::admission_mode::by_plan ||
        peer == this->links.end() || peer->second.id != this->leader ||
        now - this->admission_reported_at < min_admission_report_interval)
    {
        return;
    }
    this->admission_reported_at = now;
    presence.admission = link::to_rows(this->server->admission_demands());
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
