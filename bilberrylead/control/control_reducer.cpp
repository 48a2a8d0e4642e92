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
      entry_hosts(settings.entries, seed), limits(settings.customer_limits),
      known_entry_hosts(settings.customer_limits.lease_time),
      admission_planning(settings.admission_plan),
      admission_demands(settings.admission_report_lifetime)
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

    // Events for the replicated log are collected, so that all of them share
    // one sync.
    for (control_event const& event : events)
    {
        std::visit(
            [this](auto const& typed_event)
            {
                this->on(typed_event);
            },
            event);
    }
    this->run_replica();
    this->confirm_changes();
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

void control_reducer::on(control_started const& event)
{
    this->time_advanced_at = this->time;
    this->replica_events.emplace_back(event.recovered);
    if (event.listing.has_value())
    {
        this->listing.apply(*event.listing, this->time);
        this->record_listing_change(*event.listing, std::nullopt);
    }
    if (event.plan.has_value())
    {
        // The time since the process stopped is unknown, and so is the age of
        // an admission plan.
        this->current_plan = event.plan;
        this->current_plan->admission.reset();
    }
}

void control_reducer::on(peer_connected const& event)
{
    this->links[event.link] = event.peer;
    this->send_crash_records(event.link);
    if (event.peer.role == link::peer_role::control)
    {
        this->control_links[event.peer.id] = event.link;
        this->send(event.link, link::host_place{this->settings.zone,
                                                this->settings.region});
        this->send(event.link,
                   link::upstream_request{this->listing.position()});
        this->send_group_update(event.link);
        return;
    }
    this->exchange_event(distribution::link_opened{event.link, event.peer});
    this->send(event.link, link::leader_notice{this->replica.leader(), 0});
    this->send_group_update(event.link);
}

void control_reducer::on(peer_disconnected const& event)
{
    std::map<link::link_number, link::peer_identity>::iterator const found =
        this->links.find(event.link);
    if (found == this->links.end())
    {
        return;
    }
    host_id const peer = found->second.id;
    bool const was_control = found->second.role == link::peer_role::control;
    this->links.erase(found);
    this->reported_members.erase(event.link);
    this->exchange_event(distribution::link_closed{event.link});
    this->entry_hosts.remove_link(event.link);

    // Another link to the same control host may still be open.
    if (was_control && this->control_links[peer] == event.link)
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

void control_reducer::on(peer_message const& event)
{
    if (!this->links.contains(event.link))
    {
        return;
    }
    std::visit(
        [this, &event](auto const& message)
        {
            this->on_peer(event.link, message);
        },
        event.content);
}

void control_reducer::on(operator_request_received const& event)
{
    std::visit(
        [this, &event](auto const& request)
        {
            this->handle_request(event, request);
        },
        event.request);
}

void control_reducer::on(operator_disconnected const& event)
{
    this->pending_reads.erase(event.number);
    this->pending_audits.erase(event.number);
    this->pending_order_reads.erase(event.number);
    std::erase_if(this->held_confirmations,
                  [&event](held_confirmation const& held)
                  {
                      return held.number == event.number;
                  });
}

void control_reducer::on(control_tick const&)
{
    this->replica_events.emplace_back(agreement::tick{});
    this->exchange_event(distribution::exchange_tick{});
    this->send_group_update();
    this->plan_membership();
    this->read_list();
    this->request_listing();
    this->plan_regions();
    this->allocate_limits();
    this->crashes.expire(this->time);
    this->send_changed_crashes();

    // Only the leader measures the log's time. Time without a leader does
    // not count, so that records may live longer but never shorter.
    if (this->replica.role() != agreement::role::leader)
    {
        this->time_advanced_at = this->time;
        return;
    }
    duration const elapsed = this->time - this->time_advanced_at;
    if (elapsed >= this->settings.time_step)
    {
        this->time_advanced_at = this->time;
        this->propose(no_waiter{}, once::advance_time{elapsed});
    }
}

void control_reducer::on(control_disk_failed const&)
{
    this->replica_events.emplace_back(agreement::disk_failed{});
}

void control_reducer::on_peer(link::link_number from,
                              link::replica_message const& message)
{
    // Only control hosts take part in the replicated log. A replica message
    // from an entry host could be a vote from a host that is not a member.
    if (this->links.at(from).role != link::peer_role::control)
    {
        return;
    }
    absl::StatusOr<agreement::message> content =
        agreement::decode_message(message.content);
    if (content.ok())
    {
        this->replica_events.emplace_back(agreement::message_received{
            this->peer_of(from), std::move(*content)});
    }
}

void control_reducer::on_peer(link::link_number from,
                              link::subscription const& message)
{
    this->exchange_event(distribution::subscription_received{from, message});
    this->record_revision_in_force(from, message.in_force);
}

void control_reducer::on_peer(link::link_number from,
                              link::registration_request const& message)
{
    this->propose(
        waiting_entry_host{from, 0},
        once::register_entry_host{this->peer_of(from), message.incarnation});
}

void control_reducer::on_peer(link::link_number from,
                              link::once_request const& message)
{
    catalog::replicated_command const command = std::visit(
        [](auto const& held) -> catalog::replicated_command
        {
            return held;
        },
        message.command);
    this->propose(waiting_entry_host{from, message.number}, command);
}

template <class Other>
void control_reducer::on_peer(link::link_number, Other const&)
{
    // The remaining messages are meant for entry hosts.
}

void control_reducer::exchange_event(distribution::exchange_event const& event)
{
    for (distribution::exchange_effect& effect :
         this->exchange.reduce(event, this->time))
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

void control_reducer::send(std::vector<link::link_number> links,
                           link::message content)
{
    std::erase_if(links,
                  [this](link::link_number number)
                  {
                      return !this->links.contains(number);
                  });
    if (!links.empty())
    {
        this->effects.emplace_back(
            send_to_peers{std::move(links), std::move(content)});
    }
}

std::vector<link::link_number> control_reducer::all_links() const
{
    std::vector<link::link_number> numbers;
    numbers.reserve(this->links.size());
    for (auto const& [number, peer] : this->links)
    {
        numbers.push_back(number);
    }
    return numbers;
}

std::vector<link::link_number>
control_reducer::links_of(link::peer_role role) const
{
    std::vector<link::link_number> numbers = this->all_links();
    std::erase_if(numbers,
                  [this, role](link::link_number number)
                  {
                      return this->links.at(number).role != role;
                  });
    return numbers;
}

host_id const& control_reducer::peer_of(link::link_number number) const
{
    return this->links.at(number).id;
}

} // namespace bilberrylead::control
