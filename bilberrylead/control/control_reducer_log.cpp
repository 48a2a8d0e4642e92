#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/agreement/codec.hpp"
#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/control/refusals.hpp"
#include "bilberrylead/core/error.hpp"

#include <memory>
#include <utility>

/// Carries out the effects of the replicated log and answers those who wait
/// for an outcome.
namespace bilberrylead::control
{

void control_reducer::run_replica()
{
    // Carrying out an effect may add events, such as snapshot_taken.
    while (!this->replica_events.empty())
    {
        std::vector<agreement::event> const events =
            std::exchange(this->replica_events, {});
        std::vector<agreement::effect> const replica_effects =
            this->replica.reduce(std::span<agreement::event const>(events),
                                 this->time);
        for (agreement::effect const& effect : replica_effects)
        {
            std::visit(
                [this](auto const& typed_effect)
                {
                    this->carry_out(typed_effect);
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
    // The journal drops the prefix when it stores the snapshot that
    // replaces it.
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
    revision const orders_before = this->replicated.orders().current_revision();
    this->outcomes[effect.entry.index] =
        this->replicated.apply(effect.entry.index, effect.entry.payload);
    if (this->replicated.configurations().current_revision() != before ||
        this->replicated.orders().current_revision() != orders_before)
    {
        this->published_index = effect.entry.index;
        this->publish();
    }
}

void control_reducer::carry_out(agreement::restore const& effect)
{
    absl::Status const restored =
        this->replicated.restore(effect.snapshot.state);
    if (!restored.ok())
    {
        // A replica whose state differs from the quorum's must stop.
        this->replica_events.emplace_back(agreement::disk_failed{});
        return;
    }
    this->published_index = effect.snapshot.last_index;
    this->publish();
}

void control_reducer::carry_out(agreement::proposal_accepted const& effect)
{
    waiter const requester = this->pending.remove(effect.token);
    if (waiting_operator const* const by_operator =
            std::get_if<waiting_operator>(&requester))
    {
        this->answer_accepted(*by_operator, effect.index);
    }
    else if (waiting_entry_host const* const by_entry_host =
                 std::get_if<waiting_entry_host>(&requester))
    {
        this->answer_accepted(*by_entry_host, effect.index);
    }
}

void control_reducer::carry_out(agreement::proposal_refused const& effect)
{
    this->refuse(this->pending.remove(effect.token),
                 refusal_status(effect.reason, effect.leader), effect.leader);
}

void control_reducer::carry_out(
    agreement::proposal_outcome_unknown const& effect)
{
    this->refuse(
        this->pending.remove(effect.token),
        make_error(error_kind::timeout,
                   "The host lost the leadership before the outcome of "
                   "the change was known.",
                   "Send the change again with the same change id to get "
                   "its outcome."),
        effect.leader);
}

void control_reducer::carry_out(agreement::read_ready const& effect)
{
    waiter const requester = this->pending.remove(effect.token);
    waiting_operator const* const by_operator =
        std::get_if<waiting_operator>(&requester);
    if (by_operator == nullptr)
    {
        return;
    }
    if (this->pending_reads.contains(by_operator->number))
    {
        revision const wanted =
            this->pending_reads.at(by_operator->number).wanted;
        this->pending_reads.erase(by_operator->number);
        this->answer(by_operator->number, this->configuration_of(wanted));
    }
    else if (this->pending_order_reads.erase(by_operator->number) > 0)
    {
        catalog::accepted_orders const& orders = this->replicated.orders();
        this->answer(by_operator->number,
                     orders_reply{orders.version(), orders.document()});
    }
    else if (this->pending_audits.contains(by_operator->number))
    {
        std::size_t const max_entries =
            this->pending_audits.at(by_operator->number);
        this->pending_audits.erase(by_operator->number);
        this->answer(by_operator->number, this->newest_audit(max_entries));
    }
}

void control_reducer::carry_out(agreement::read_refused const& effect)
{
    waiter const requester = this->pending.remove(effect.token);
    if (waiting_operator const* const by_operator =
            std::get_if<waiting_operator>(&requester))
    {
        this->pending_reads.erase(by_operator->number);
        this->pending_audits.erase(by_operator->number);
        this->pending_order_reads.erase(by_operator->number);
    }
    this->refuse(requester, not_leader(effect.leader), effect.leader);
}

void control_reducer::carry_out(agreement::role_changed const& effect)
{
    this->effects.emplace_back(effect);
    if (this->known_leader == effect.leader)
    {
        return;
    }
    this->known_leader = effect.leader;
    if (effect.leader.empty() && !this->reported_members.empty())
    {
        this->link_control_hosts();
    }
    this->leader_since = this->time;
    this->limits.start(this->time);
    this->send(this->links_of(link::peer_role::entry),
               link::leader_notice{effect.leader, 0});
}

void control_reducer::carry_out(agreement::take_snapshot const& effect)
{
    this->replica_events.emplace_back(agreement::snapshot_taken{
        effect.index, this->replicated.encode_snapshot()});
}

void control_reducer::propose(waiter requester,
                              catalog::replicated_command const& command)
{
    this->replica_events.emplace_back(agreement::propose{
        this->pending.add(requester), catalog::encode_command(command)});
}

void control_reducer::publish()
{
    // A deployment uses either orders or the configuration catalog, never
    // both.
    catalog::accepted_orders const& orders = this->replicated.orders();
    if (orders.current_revision() > 0)
    {
        this->effects.emplace_back(
            orders_changed{orders.current_revision(), orders.version(),
                           orders.closed_zones().size()});
        this->publish(orders.current_revision(), orders.encode());
        return;
    }
    catalog::stored_revision const* const current =
        this->replicated.configurations().current();
    if (current != nullptr)
    {
        this->publish(current->number, current->document);
    }
}

void control_reducer::publish(revision number, bytes content)
{
    std::shared_ptr<bytes const> const document =
        std::make_shared<bytes const>(std::move(content));
    this->published_at = this->time;
    this->effects.emplace_back(revision_in_force{document});
    this->exchange_event(distribution::revision_published{number, document});
    if (this->replica.role() == agreement::role::leader)
    {
        this->record_revision_sent(number);
        this->replica_events.emplace_back(
            agreement::commit_announcement_requested{});
    }
}

void control_reducer::record_revision_sent(revision number)
{
    std::set<host_id> receivers;
    for (auto const& [host, in_force] : this->exchange.peer_revisions())
    {
        receivers.insert(host);
    }
    std::optional<delivery_report<revision>> const incomplete =
        this->revision_delivery.record_sent(number, std::move(receivers),
                                            this->time);
    if (incomplete.has_value())
    {
        this->effects.emplace_back(revision_delivered{*incomplete});
    }
}

void control_reducer::record_revision_in_force(link::link_number from,
                                               revision in_force)
{
    std::optional<delivery_report<revision>> const complete =
        this->revision_delivery.record_confirmed(this->peer_of(from), in_force,
                                                 this->time);
    if (complete.has_value())
    {
        this->effects.emplace_back(revision_delivered{*complete});
    }
}

void control_reducer::answer_accepted(waiting_entry_host const& requester,
                                      std::uint64_t index)
{
    auto const found = this->outcomes.find(index);
    if (found == this->outcomes.end())
    {
        return;
    }
    if (once::claim_verdict const* verdict =
            std::get_if<once::claim_verdict>(&found->second))
    {
        this->send(requester.link,
                   link::claim_reply{requester.number, *verdict});
    }
    else if (once::settle_result const* settled =
                 std::get_if<once::settle_result>(&found->second))
    {
        this->send(requester.link,
                   link::settle_reply{requester.number, *settled});
    }
    else if (once::registration const* registered =
                 std::get_if<once::registration>(&found->second))
    {
        this->send(requester.link, link::registration_reply{*registered});
    }
}

void control_reducer::refuse(waiter const& requester,
                             absl::Status const& reason, host_id const& leader)
{
    if (waiting_operator const* const by_operator =
            std::get_if<waiting_operator>(&requester))
    {
        this->answer(by_operator->number, reason);
    }
    else if (waiting_entry_host const* const by_entry_host =
                 std::get_if<waiting_entry_host>(&requester))
    {
        this->send(by_entry_host->link,
                   link::leader_notice{leader, by_entry_host->number});
    }
}

} // namespace bilberrylead::control
