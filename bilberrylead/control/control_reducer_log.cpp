#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/agreement/codec.hpp"
#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/control/refusals.hpp"
#include "bilberrylead/core/error.hpp"

#include <memory>
#include <utility>

/// What the replicated log wants done, and who waits for its outcome.
namespace bilberrylead::control
{

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
    revision const orders_before = this->replicated.orders().current_revision();
    this->outcomes[effect.entry.index] =
        this->replicated.apply(effect.entry.index, effect.entry.payload);
    if (this->replicated.configurations().current_revision() != before ||
        this->replicated.orders().current_revision() != orders_before)
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
                 refusal_status(effect.reason, effect.leader), effect.leader);
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
    else if (this->open_order_reads.erase(held->number) > 0)
    {
        catalog::accepted_orders const& orders = this->replicated.orders();
        this->answer(held->number,
                     orders_reply{orders.version(), orders.document()});
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
        this->open_order_reads.erase(held->number);
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
    this->leads_since = this->time;
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
    // A deployment has orders or a catalog of its own, never both.
    catalog::accepted_orders const& orders = this->replicated.orders();
    if (orders.current_revision() > 0)
    {
        this->effects.emplace_back(
            orders_changed{orders.current_revision(), orders.version(),
                           orders.closed_zones().size()});
        this->exchange_event(distribution::published{
            orders.current_revision(),
            std::make_shared<bytes const>(orders.encode())});
        return;
    }
    catalog::stored_revision const* const current =
        this->replicated.configurations().current();
    if (current != nullptr)
    {
        this->exchange_event(distribution::published{
            current->number, std::make_shared<bytes const>(current->document)});
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
    if (once::claim_verdict const* verdict =
            std::get_if<once::claim_verdict>(&found->second))
    {
        this->send(who.link, link::claim_reply{who.number, *verdict});
    }
    else if (once::settle_result const* settled =
                 std::get_if<once::settle_result>(&found->second))
    {
        this->send(who.link, link::settle_reply{who.number, *settled});
    }
    else if (once::registration const* registered =
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

} // namespace bilberrylead::control
