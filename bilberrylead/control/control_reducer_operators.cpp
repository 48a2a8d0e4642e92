#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/control/refusals.hpp"

#include <algorithm>
#include <deque>
#include <utility>

/// Operator requests and their replies.
namespace bilberrylead::control
{

void control_reducer::handle_request(operator_request_received const& received,
                                     submit_change const& request)
{
    catalog::change_command change = request.change;
    change.accepted_at = received.received_at;
    this->propose(waiting_operator{received.number}, change);
}

void control_reducer::handle_request(operator_request_received const& received,
                                     read_configuration const& request)
{
    if (request.allow_stale)
    {
        this->answer(received.number, this->configuration_of(request.wanted));
        return;
    }
    this->pending_reads[received.number] = request;
    this->replica_events.emplace_back(agreement::read_requested{
        this->pending.add(waiting_operator{received.number})});
}

void control_reducer::handle_request(operator_request_received const& received,
                                     read_audit const& request)
{
    this->pending_audits[received.number] = request.max_entries;
    this->replica_events.emplace_back(agreement::read_requested{
        this->pending.add(waiting_operator{received.number})});
}

void control_reducer::handle_request(operator_request_received const& received,
                                     read_status const&)
{
    this->answer(received.number, this->status());
}

void control_reducer::handle_request(operator_request_received const& received,
                                     change_membership const& request)
{
    agreement::membership_change_requested change = request.request;
    change.token = this->pending.add(waiting_operator{received.number});
    this->replica_events.emplace_back(std::move(change));
}

void control_reducer::handle_request(operator_request_received const& received,
                                     hand_over const&)
{
    if (this->replica.role() != agreement::role::leader)
    {
        this->answer(received.number, not_leader(this->replica.leader()));
        return;
    }
    this->replica_events.emplace_back(agreement::handover_requested{});
    this->answer(received.number, done_reply{});
}

void control_reducer::handle_request(operator_request_received const& received,
                                     submit_orders const& request)
{
    this->propose(waiting_operator{received.number}, request.order);
}

void control_reducer::handle_request(operator_request_received const& received,
                                     submit_zone_order const& request)
{
    this->propose(waiting_operator{received.number}, request.order);
}

void control_reducer::handle_request(operator_request_received const& received,
                                     read_orders const&)
{
    this->pending_order_reads.insert(received.number);
    this->replica_events.emplace_back(agreement::read_requested{
        this->pending.add(waiting_operator{received.number})});
}

void control_reducer::answer(std::uint64_t number, operator_reply reply)
{
    this->effects.emplace_back(
        answer_operator{number, std::move(reply), this->replica.leader()});
}

void control_reducer::answer_accepted(waiting_operator const& requester,
                                      std::uint64_t index)
{
    auto const found = this->outcomes.find(index);
    if (found == this->outcomes.end())
    {
        // A membership change produces no outcome in the state machine.
        this->answer(requester.number, done_reply{});
        return;
    }
    if (catalog::change_outcome const* const change =
            std::get_if<catalog::change_outcome>(&found->second))
    {
        bool const is_accepted =
            std::holds_alternative<catalog::change_accepted>(*change) ||
            std::holds_alternative<catalog::change_already_accepted>(*change);
        if (is_accepted)
        {
            this->hold_confirmation(requester, *change);
            return;
        }
        this->answer(requester.number, *change);
    }
    else if (catalog::order_outcome const* const order =
                 std::get_if<catalog::order_outcome>(&found->second))
    {
        this->hold_confirmation(requester, *order);
    }
    else if (absl::Status const* const failed =
                 std::get_if<absl::Status>(&found->second))
    {
        this->answer(requester.number, *failed);
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

audit_reply control_reducer::newest_audit(std::size_t max_entries) const
{
    std::deque<catalog::audit_entry> const& trail =
        this->replicated.configurations().audit_trail();
    std::size_t const count = std::min(max_entries, trail.size());
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
    reply.entry_hosts = this->exchange.peer_revisions();
    reply.claims = this->replicated.claims().size();
    return reply;
}

} // namespace bilberrylead::control
