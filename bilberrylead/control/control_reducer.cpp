#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/agreement/codec.hpp"
#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/core/error.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <memory>
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

absl::Status not_leader(host_id const& leader)
{
    if (leader.empty())
    {
        return make_error(error_kind::no_quorum, "No control host leads now.",
                          "Try again in a second; if it lasts, see whether "
                          "more than half of the control hosts run.");
    }
    return make_error(
        error_kind::not_leader,
        fmt::format("This host does not lead; {} does.", leader.text()),
        "Ask that host.");
}

absl::Status status_of(agreement::refusal reason, host_id const& leader)
{
    if (reason == agreement::refusal::not_leader)
    {
        return not_leader(leader);
    }
    if (reason == agreement::refusal::bad_change)
    {
        return make_error(
            error_kind::bad_value,
            "The group cannot change so: the host is a member already, or "
            "is none, or is the last voter.",
            "See the members with bilberryctl status. A member that lost "
            "its disk is taken back by itself, with no command.");
    }
    return make_error(error_kind::no_room,
                      fmt::format("The log refuses the change ({}).",
                                  agreement::to_string(reason)),
                      "Try again in a second.");
}

} // namespace

control_reducer::control_reducer(control_reducer_settings const& settings)
    : settings(settings), replica(settings.self, settings.incarnation,
                                  settings.replica, settings.seed),
      replicated(settings.catalog, settings.once), exchange(source_settings())
{
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
}

void control_reducer::on(peer_connected const& what)
{
    this->links[what.link] = what.peer;
    if (what.peer.role == link::peer_role::control)
    {
        this->control_links[what.peer.id] = what.link;
        return;
    }
    this->exchange_event(distribution::link_opened{what.link, what.peer});
    this->send(what.link, link::leader_notice{this->replica.leader(), 0});
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
    this->links.erase(found);
    this->exchange_event(distribution::link_closed{what.link});

    // Another link to the same control host may still be open.
    if (this->control_links[peer] == what.link)
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
}

void control_reducer::on(control_tick const&)
{
    this->replica_events.emplace_back(agreement::tick{});
    this->exchange_event(distribution::exchange_tick{});

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

void control_reducer::ask(operator_asked const& asked,
                          submit_change const& request)
{
    catalog::change_command change = request.change;
    change.accepted_at = asked.asked_at;
    this->propose(operator_waits{asked.number}, change);
}

void control_reducer::ask(operator_asked const& asked,
                          read_configuration const& request)
{
    if (request.may_be_stale)
    {
        this->answer(asked.number, this->configuration_of(request.wanted));
        return;
    }
    this->open_reads[asked.number] = request;
    this->replica_events.emplace_back(agreement::read_requested{
        this->open.add(operator_waits{asked.number})});
}

void control_reducer::ask(operator_asked const& asked,
                          read_audit const& request)
{
    this->open_audits[asked.number] = request.most;
    this->replica_events.emplace_back(agreement::read_requested{
        this->open.add(operator_waits{asked.number})});
}

void control_reducer::ask(operator_asked const& asked, read_status const&)
{
    this->answer(asked.number, this->status());
}

void control_reducer::ask(operator_asked const& asked,
                          change_membership const& request)
{
    agreement::membership_change_requested change = request.request;
    change.token = this->open.add(operator_waits{asked.number});
    this->replica_events.emplace_back(std::move(change));
}

void control_reducer::ask(operator_asked const& asked, hand_over const&)
{
    if (this->replica.role() != agreement::role::leader)
    {
        this->answer(asked.number, not_leader(this->replica.leader()));
        return;
    }
    this->replica_events.emplace_back(agreement::handover_requested{});
    this->answer(asked.number, done_reply{});
}

void control_reducer::run_replica()
{
    // Carrying out may bring new events: a snapshot that was taken.
    while (!this->replica_events.empty())
    {
        std::vector<agreement::event> const events =
            std::exchange(this->replica_events, {});
        std::vector<agreement::effect> const wanted = this->replica.reduce(
            std::span<agreement::event const>(events), this->time);
        for (agreement::effect const& effect : wanted)
        {
            std::visit(
                [this](auto const& what)
                {
                    this->carry_out(what);
                },
                effect);
        }
    }
    this->outcomes.clear();
}

void control_reducer::carry_out(agreement::persist_hard_state const& effect)
{
    this->effects.emplace_back(effect);
}

void control_reducer::carry_out(agreement::append_entries const& effect)
{
    this->effects.emplace_back(effect);
}

void control_reducer::carry_out(agreement::persist_snapshot const& effect)
{
    this->effects.emplace_back(effect);
}

void control_reducer::carry_out(agreement::drop_log_prefix const&)
{
    // The journal drops it with the snapshot that stands for it.
}

void control_reducer::carry_out(agreement::sync const& effect)
{
    this->effects.emplace_back(effect);
}

void control_reducer::carry_out(agreement::send const& effect)
{
    std::map<host_id, link::link_number>::const_iterator const found =
        this->control_links.find(effect.to);
    if (found != this->control_links.end())
    {
        this->send(
            found->second,
            link::replica_message{agreement::encode_message(effect.message)});
    }
}

void control_reducer::carry_out(agreement::apply const& effect)
{
    if (effect.entry.kind != agreement::entry_kind::command)
    {
        return;
    }
    revision const before =
        this->replicated.configurations().current_revision();
    this->outcomes[effect.entry.index] =
        this->replicated.apply(effect.entry.index, effect.entry.payload);
    if (this->replicated.configurations().current_revision() != before)
    {
        this->publish();
    }
}

void control_reducer::carry_out(agreement::restore const& effect)
{
    absl::Status const restored =
        this->replicated.restore(effect.snapshot.state);
    if (!restored.ok())
    {
        // A state that differs from the quorum's must not go on.
        this->replica_events.emplace_back(agreement::disk_failed{});
        return;
    }
    this->publish();
}

void control_reducer::carry_out(agreement::proposal_accepted const& effect)
{
    waiter const who = this->open.take(effect.token);
    if (operator_waits const* const held = std::get_if<operator_waits>(&who))
    {
        this->answer_accepted(*held, effect.index);
    }
    else if (entry_host_waits const* const waits =
                 std::get_if<entry_host_waits>(&who))
    {
        this->answer_accepted(*waits, effect.index);
    }
}

void control_reducer::carry_out(agreement::proposal_refused const& effect)
{
    this->refuse(this->open.take(effect.token),
                 status_of(effect.reason, effect.leader), effect.leader);
}

void control_reducer::carry_out(
    agreement::proposal_outcome_unknown const& effect)
{
    this->refuse(
        this->open.take(effect.token),
        make_error(error_kind::timeout,
                   "The leader lost its office with the change on its way.",
                   "Send it again with the same change id to learn what "
                   "became of it."),
        effect.leader);
}

void control_reducer::carry_out(agreement::read_ready const& effect)
{
    waiter const who = this->open.take(effect.token);
    operator_waits const* const held = std::get_if<operator_waits>(&who);
    if (held == nullptr)
    {
        return;
    }
    if (this->open_reads.contains(held->number))
    {
        revision const wanted = this->open_reads.at(held->number).wanted;
        this->open_reads.erase(held->number);
        this->answer(held->number, this->configuration_of(wanted));
    }
    else if (this->open_audits.contains(held->number))
    {
        std::size_t const most = this->open_audits.at(held->number);
        this->open_audits.erase(held->number);
        this->answer(held->number, this->newest_audit(most));
    }
}

void control_reducer::carry_out(agreement::read_refused const& effect)
{
    waiter const who = this->open.take(effect.token);
    if (operator_waits const* const held = std::get_if<operator_waits>(&who))
    {
        this->open_reads.erase(held->number);
        this->open_audits.erase(held->number);
    }
    this->refuse(who, not_leader(effect.leader), effect.leader);
}

void control_reducer::carry_out(agreement::role_changed const& effect)
{
    this->effects.emplace_back(effect);
    if (this->known_leader == effect.leader)
    {
        return;
    }
    this->known_leader = effect.leader;
    for (std::pair<link::link_number const, link::peer_identity> const& row :
         this->links)
    {
        if (row.second.role == link::peer_role::entry)
        {
            this->send(row.first, link::leader_notice{effect.leader, 0});
        }
    }
}

void control_reducer::carry_out(agreement::take_snapshot const& effect)
{
    this->replica_events.emplace_back(agreement::snapshot_taken{
        effect.index, this->replicated.encode_snapshot()});
}

void control_reducer::propose(waiter who,
                              catalog::replicated_command const& command)
{
    this->replica_events.emplace_back(agreement::propose{
        this->open.add(who), catalog::encode_command(command)});
}

void control_reducer::publish()
{
    catalog::stored_revision const* const current =
        this->replicated.configurations().current();
    if (current != nullptr)
    {
        this->exchange_event(distribution::published{
            current->number, std::make_shared<bytes const>(current->document)});
    }
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

void control_reducer::answer(std::uint64_t number, operator_reply reply)
{
    this->effects.emplace_back(answer_operator{number, std::move(reply)});
}

void control_reducer::answer_accepted(operator_waits const& who,
                                      std::uint64_t index)
{
    auto const found = this->outcomes.find(index);
    if (found == this->outcomes.end())
    {
        // A change of membership has no outcome of its own.
        this->answer(who.number, done_reply{});
        return;
    }
    if (catalog::change_outcome const* const held =
            std::get_if<catalog::change_outcome>(&found->second))
    {
        this->answer(who.number, *held);
    }
    else if (absl::Status const* const failed =
                 std::get_if<absl::Status>(&found->second))
    {
        this->answer(who.number, *failed);
    }
}

void control_reducer::answer_accepted(entry_host_waits const& who,
                                      std::uint64_t index)
{
    auto const found = this->outcomes.find(index);
    if (found == this->outcomes.end())
    {
        return;
    }
    if (auto const* verdict = std::get_if<once::claim_verdict>(&found->second))
    {
        this->send(who.link, link::claim_reply{who.number, *verdict});
    }
    else if (auto const* settled =
                 std::get_if<once::settle_result>(&found->second))
    {
        this->send(who.link, link::settle_reply{who.number, *settled});
    }
    else if (auto const* registered =
                 std::get_if<once::registration>(&found->second))
    {
        this->send(who.link, link::registration_reply{*registered});
    }
}

void control_reducer::refuse(waiter const& who, absl::Status const& why,
                             host_id const& leader)
{
    if (operator_waits const* const held = std::get_if<operator_waits>(&who))
    {
        this->answer(held->number, why);
    }
    else if (entry_host_waits const* const waits =
                 std::get_if<entry_host_waits>(&who))
    {
        this->send(waits->link, link::leader_notice{leader, waits->number});
    }
}

void control_reducer::send(link::link_number to, link::message content)
{
    if (this->links.contains(to))
    {
        this->effects.emplace_back(send_to_peer{to, std::move(content)});
    }
}

configuration_reply control_reducer::configuration_of(revision wanted) const
{
    catalog::catalog const& configurations = this->replicated.configurations();
    catalog::stored_revision const* const found =
        wanted == 0 ? configurations.current() : configurations.find(wanted);
    if (found == nullptr)
    {
        return {};
    }
    return {found->number, found->document};
}

audit_reply control_reducer::newest_audit(std::size_t most) const
{
    std::deque<catalog::audit_entry> const& trail =
        this->replicated.configurations().audit_trail();
    std::size_t const count = std::min(most, trail.size());
    return {std::vector<catalog::audit_entry>(
        trail.rbegin(), trail.rbegin() + static_cast<std::ptrdiff_t>(count))};
}

status_reply control_reducer::status() const
{
    status_reply reply;
    reply.host = this->settings.self;
    reply.incarnation = this->settings.incarnation;
    reply.role = this->replica.role();
    reply.term = this->replica.term();
    reply.leader = this->replica.leader();
    reply.commit_index = this->replica.commit_index();
    reply.last_index = this->replica.last_index();
    reply.accepted = this->replicated.configurations().current_revision();
    reply.members = this->replica.membership();
    reply.entry_hosts = this->exchange.peers_in_force();
    reply.claims = this->replicated.claims().size();
    return reply;
}

host_id const& control_reducer::peer_of(link::link_number number) const
{
    return this->links.at(number).id;
}

} // namespace bilberrylead::control
