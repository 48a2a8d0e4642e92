#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/agreement/codec.hpp"
#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/core/process_seed.hpp"

#include <cassert>
#include <utility>

namespace bilberrylead::control
{

namespace
{

distribution::exchange_settings source_settings()
{
    distribution::exchange_settings settings;
    settings.is_source = true;
    return settings;
}

} // namespace

control_reducer::control_reducer(control_reducer_settings const& settings,
                                 process_seed const& seed)
    : settings(settings),
      replica(settings.self, settings.incarnation, settings.replica,
              seed.of(random_sequence::election)),
      replicated(settings.catalog, settings.once), exchange(source_settings()),
      entry_hosts(settings.entries, seed)
{
    if (settings.list.has_value())
    {
        this->reader.emplace(*settings.list);
    }
}

std::vector<control_effect>
control_reducer::reduce(std::span<control_event const> events, instant now)
{
    assert(now >= this->time);
    this->time = now;
    this->effects.clear();

    // Events for the log are gathered, so that one sync serves them all.
    for (control_event const& event : events)
    {
        std::visit(
            [this](auto const& what)
            {
                this->on(what);
            },
            event);
    }
    this->run_replica();
    return std::move(this->effects);
}

agreement::replica const& control_reducer::log() const
{
    return this->replica;
}

catalog::replicated_state const& control_reducer::state() const
{
    return this->replicated;
}

void control_reducer::on(control_started const& what)
{
    this->time_advanced_at = this->time;
    this->replica_events.emplace_back(what.recovered);
    if (what.listing.has_value())
    {
        this->listing.take(*what.listing, this->time);
        this->note_listing(*what.listing);
    }
    this->held_plan = what.plan;
}

void control_reducer::on(peer_connected const& what)
{
    this->links[what.link] = what.peer;
    this->tell_crashes(what.link);
    if (what.peer.role == link::peer_role::control)
    {
        this->control_links[what.peer.id] = what.link;
        this->send(what.link, link::host_place{this->settings.zone,
                                               this->settings.region});
        this->send(what.link, link::upstream_request{this->listing.position()});
        this->tell_group(what.link);
        return;
    }
    this->exchange_event(distribution::link_opened{what.link, what.peer});
    this->send(what.link, link::leader_notice{this->replica.leader(), 0});
    this->tell_group(what.link);
}

void control_reducer::on(peer_disconnected const& what)
{
    std::map<link::link_number, link::peer_identity>::iterator const found =
        this->links.find(what.link);
    if (found == this->links.end())
    {
        return;
    }
    host_id const peer = found->second.id;
    bool const was_control = found->second.role == link::peer_role::control;
    this->links.erase(found);
    this->exchange_event(distribution::link_closed{what.link});
    this->entry_hosts.lost(what.link);

    // Another link to the same control host may still be open.
    if (was_control && this->control_links[peer] == what.link)
    {
        this->control_links.erase(peer);
        for (std::pair<link::link_number const, link::peer_identity> const&
                 row : this->links)
        {
            if (row.second.id == peer)
            {
                this->control_links[peer] = row.first;
            }
        }
    }
}

void control_reducer::on(peer_message const& what)
{
    if (!this->links.contains(what.link))
    {
        return;
    }
    std::visit(
        [this, &what](auto const& said)
        {
            this->on_peer(what.link, said);
        },
        what.content);
}

void control_reducer::on(operator_asked const& what)
{
    std::visit(
        [this, &what](auto const& request)
        {
            this->ask(what, request);
        },
        what.request);
}

void control_reducer::on(operator_gone const& what)
{
    this->open_reads.erase(what.number);
    this->open_audits.erase(what.number);
    this->open_order_reads.erase(what.number);
}

void control_reducer::on(control_tick const&)
{
    this->replica_events.emplace_back(agreement::tick{});
    this->exchange_event(distribution::exchange_tick{});
    this->tell_group();
    this->plan_membership();
    this->read_list();
    this->ask_for_listing();
    this->plan_regions();
    this->crashes.expire(this->time);

    // The log's time is measured by whoever leads; time without a leader
    // does not count, so that records live longer, never shorter.
    if (this->replica.role() != agreement::role::leader)
    {
        this->time_advanced_at = this->time;
        return;
    }
    duration const elapsed = this->time - this->time_advanced_at;
    if (elapsed >= this->settings.time_step)
    {
        this->time_advanced_at = this->time;
        this->propose(nobody_waits{}, once::advance_time{elapsed});
    }
}

void control_reducer::on(control_disk_failed const&)
{
    this->replica_events.emplace_back(agreement::disk_failed{});
}

void control_reducer::on_peer(link::link_number from,
                              link::replica_message const& said)
{
    // Only a control host's messages are the log's; an entry host's would
    // be a vote from nowhere.
    if (this->links.at(from).role != link::peer_role::control)
    {
        return;
    }
    absl::StatusOr<agreement::message> content =
        agreement::decode_message(said.content);
    if (content.ok())
    {
        this->replica_events.emplace_back(agreement::message_received{
            this->peer_of(from), std::move(*content)});
    }
}

void control_reducer::on_peer(link::link_number from,
                              link::subscription const& said)
{
    this->exchange_event(distribution::subscription_received{from, said});
}

void control_reducer::on_peer(link::link_number from,
                              link::registration_request const& said)
{
    this->propose(
        entry_host_waits{from, 0},
        once::register_entry_host{this->peer_of(from), said.incarnation});
}

void control_reducer::on_peer(link::link_number from,
                              link::once_request const& said)
{
    catalog::replicated_command const command = std::visit(
        [](auto const& held) -> catalog::replicated_command
        {
            return held;
        },
        said.command);
    this->propose(entry_host_waits{from, said.number}, command);
}

template <class Other>
void control_reducer::on_peer(link::link_number, Other const&)
{
    // Meant for entry hosts; a control host has no use for it.
}

void control_reducer::exchange_event(distribution::exchange_event const& what)
{
    for (distribution::exchange_effect& effect :
         this->exchange.reduce(what, this->time))
    {
        if (distribution::send_message* const sent =
                std::get_if<distribution::send_message>(&effect))
        {
            this->send(sent->link, std::move(sent->content));
        }
    }
}

void control_reducer::send(link::link_number to, link::message content)
{
    if (this->links.contains(to))
    {
        this->effects.emplace_back(send_to_peer{to, std::move(content)});
    }
}

host_id const& control_reducer::peer_of(link::link_number number) const
{
    return this->links.at(number).id;
}

} // namespace bilberrylead::control
