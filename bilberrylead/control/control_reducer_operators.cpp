#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/control/refusals.hpp"

#include <algorithm>
#include <deque>
#include <utility>

/// What operators ask of a control host, and what they are answered.
namespace bilberrylead::control
{

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

void control_reducer::ask(operator_asked const& asked,
                          submit_orders const& request)
{
    this->propose(operator_waits{asked.number}, request.order);
}

void control_reducer::ask(operator_asked const& asked,
                          submit_zone_order const& request)
{
    this->propose(operator_waits{asked.number}, request.order);
}

void control_reducer::ask(operator_asked const& asked, read_orders const&)
{
    this->open_order_reads.insert(asked.number);
    this->replica_events.emplace_back(agreement::read_requested{
        this->open.add(operator_waits{asked.number})});
}

void control_reducer::answer(std::uint64_t number, operator_reply reply)
{
    this->effects.emplace_back(
        answer_operator{number, std::move(reply), this->replica.leader()});
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
    else if (catalog::order_outcome const* const taken =
                 std::get_if<catalog::order_outcome>(&found->second))
    {
        this->answer(who.number, *taken);
    }
    else if (absl::Status const* const failed =
                 std::get_if<absl::Status>(&found->second))
    {
        this->answer(who.number, *failed);
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

} // namespace bilberrylead::control
