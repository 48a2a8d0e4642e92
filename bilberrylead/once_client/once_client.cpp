#include "bilberrylead/once_client/once_client.hpp"

#include <fmt/format.h>

#include <cassert>
#include <utility>

namespace bilberrylead::once_client
{

once_client::once_client(once_client_settings const& settings)
    : settings(settings), incarnation(settings.incarnation)
{
}

std::vector<once_client_effect>
once_client::reduce(once_client_event const& event, instant now)
{
    assert(now >= this->time);
    this->time = now;
    this->effects.clear();
    std::visit(
        [this](auto const& alternative)
        {
            this->on(alternative);
        },
        event);
    this->report_reachability_change();
    return std::move(this->effects);
}

bool once_client::reachable() const
{
    return this->is_registered && this->leader_link().has_value();
}

request_id once_client::id_of(local_request_id request) const
{
    return request_id(fmt::format("{}.{}.{}", this->settings.self.text(),
                                  this->settings.incarnation, request));
}

void once_client::on(control_link_opened const& event)
{
    this->links[event.link] = event.host;
    this->register_self();
}

void once_client::on(control_link_closed const& event)
{
    bool const was_leader = this->leader_link() == event.link;
    this->links.erase(event.link);
    if (!was_leader)
    {
        return;
    }

    // Commands in flight may be lost with the link.
    for (command_map::value_type& entry : this->commands)
    {
        entry.second.is_sent = false;
    }
    this->send_unsent_commands();
}

void once_client::on(leader_notice_received const& event)
{
    if (!event.content.leader.empty() && event.content.leader != this->leader)
    {
        this->leader = event.content.leader;
        for (command_map::value_type& entry : this->commands)
        {
            entry.second.is_sent = false;
        }
    }
    command_map::iterator const refused =
        this->commands.find(event.content.refused_number);
    if (refused != this->commands.end())
    {
        refused->second.is_sent = false;
    }

    // A host that refuses a command and names itself as leader is losing its
    // leadership. The next client_tick resends; resending here would exchange
    // commands and refusals as fast as the link allows.
    bool const refused_by_named_leader =
        event.content.refused_number != 0 &&
        this->links[event.link] == event.content.leader;
    if (!refused_by_named_leader)
    {
        this->register_self();
        this->send_unsent_commands();
    }
}

void once_client::on(registration_reply_received const& event)
{
    once::registration const& result = event.content.result;
    if (result.accepted && result.incarnation == this->incarnation)
    {
        this->is_registered = true;
        this->send_unsent_commands();
    }
    else if (!result.accepted && result.incarnation >= this->incarnation)
    {
        // A previous incarnation of this process has a larger number, because
        // the wall clock was set back.
        this->incarnation = result.incarnation + 1;
        this->is_registered = false;
        this->registration_sent_at = {};
        this->register_self();
    }
}

void once_client::on(claim_reply_received const& event)
{
    command_map::iterator const found =
        this->commands.find(event.content.number);
    if (found == this->commands.end() ||
        !std::holds_alternative<once::claim>(found->second.command))
    {
        return;
    }
    local_request_id const request = found->second.request;
    this->commands.erase(found);
    --this->open_claims;
    this->effects.emplace_back(claim_decided{request, event.content.verdict});
}

void once_client::on(settle_reply_received const& event)
{
    command_map::iterator const found =
        this->commands.find(event.content.number);
    if (found == this->commands.end() ||
        std::holds_alternative<once::claim>(found->second.command))
    {
        return;
    }
    local_request_id const request = found->second.request;
    bool const was_completion =
        std::holds_alternative<once::complete>(found->second.command);
    this->commands.erase(found);
    if (was_completion)
    {
        this->effects.emplace_back(completion_recorded{request});
    }
}

void once_client::on(claim_requested const& event)
{
    // Without a leader no claim can be decided before the caller's deadline.
    bool const at_capacity =
        this->open_claims >= this->settings.max_open_claims;
    if (!this->reachable() || at_capacity)
    {
        once::claim_refusal const reason = at_capacity
                                               ? once::claim_refusal::no_room
                                               : once::claim_refusal::no_quorum;
        this->effects.emplace_back(claim_decided{
            event.request,
            once::claim_refused{reason, this->settings.retry_after}});
        return;
    }
    once::claim command;
    command.key = event.key;
    command.body_digest = event.body_digest;
    command.request = this->id_of(event.request);
    command.entry_host = this->settings.self;
    command.incarnation = this->incarnation;
    ++this->open_claims;
    this->add_command(event.request, std::move(command));
}

void once_client::on(completion_reported const& event)
{
    this->add_report(
        event.request,
        once::complete{event.key, this->id_of(event.request), event.answer});
}

void once_client::on(release_requested const& event)
{
    this->add_report(event.request,
                     once::release{event.key, this->id_of(event.request)});
}

void once_client::on(unknown_outcome_reported const& event)
{
    this->add_report(event.request,
                     once::mark_unknown{event.key, this->id_of(event.request)});
}

void once_client::on(client_tick const&)
{
    this->register_self();
    this->abandon_expired_claims();
    this->resend_overdue_commands();
}

void once_client::add_report(local_request_id request,
                             once::once_command command)
{
    std::size_t const open_report_count =
        this->commands.size() - this->open_claims;
    if (open_report_count >= this->settings.max_open_reports)
    {
        for (command_map::iterator entry = this->commands.begin();
             entry != this->commands.end(); ++entry)
        {
            if (!std::holds_alternative<once::claim>(entry->second.command))
            {
                this->commands.erase(entry);
                break;
            }
        }
    }
    this->add_command(request, std::move(command));
}

void once_client::add_command(local_request_id request,
                              once::once_command command)
{
    ++this->last_number;
    open_command& added = this->commands[this->last_number];
    added.request = request;
    added.command = std::move(command);
    added.requested_at = this->time;
    this->send(this->last_number, added);
}

std::optional<link::link_number> once_client::leader_link() const
{
    // Prefers the newest link: an older one may be unresponsive.
    for (auto entry = this->links.rbegin(); entry != this->links.rend();
         ++entry)
    {
        if (entry->second == this->leader)
        {
            return entry->first;
        }
    }
    return std::nullopt;
}

void once_client::register_self()
{
    std::optional<link::link_number> const link = this->leader_link();
    bool const is_due = this->registration_sent_at == instant{} ||
                        this->time - this->registration_sent_at >=
                            this->settings.resend_interval;
    if (this->is_registered || !link.has_value() || !is_due)
    {
        return;
    }
    this->registration_sent_at = this->time;
    this->effects.emplace_back(
        send_to_control{*link, link::registration_request{this->incarnation}});
}

void once_client::send_unsent_commands()
{
    for (command_map::value_type& entry : this->commands)
    {
        if (!entry.second.is_sent)
        {
            this->send(entry.first, entry.second);
        }
    }
}

void once_client::send(std::uint64_t number, open_command& command)
{
    std::optional<link::link_number> const link = this->leader_link();
    if (!link.has_value() || !this->is_registered)
    {
        return;
    }
    command.is_sent = true;
    command.sent_at = this->time;
    this->effects.emplace_back(
        send_to_control{*link, link::once_request{number, command.command}});
}

void once_client::resend_overdue_commands()
{
    for (command_map::value_type& entry : this->commands)
    {
        open_command& command = entry.second;
        bool const is_due =
            !command.is_sent ||
            this->time - command.sent_at >= this->settings.resend_interval;
        if (is_due)
        {
            this->send(entry.first, command);
        }
    }
}

void once_client::abandon_expired_claims()
{
    std::vector<std::uint64_t> late;
    for (command_map::value_type const& entry : this->commands)
    {
        bool const is_claim =
            std::holds_alternative<once::claim>(entry.second.command);
        if (is_claim && this->time - entry.second.requested_at >=
                            this->settings.claim_timeout)
        {
            late.push_back(entry.first);
        }
    }
    for (std::uint64_t const number : late)
    {
        open_command const command = std::move(this->commands.at(number));
        this->commands.erase(number);
        --this->open_claims;
        this->effects.emplace_back(claim_decided{
            command.request, once::claim_refused{once::claim_refusal::no_quorum,
                                                 this->settings.retry_after}});
        once::claim const& claim = std::get<once::claim>(command.command);
        this->add_report(command.request,
                         once::release{claim.key, claim.request});
    }
}

void once_client::report_reachability_change()
{
    if (this->reachable() != this->reported_reachable)
    {
        this->reported_reachable = this->reachable();
        this->effects.emplace_back(
            reachability_changed{this->reported_reachable});
    }
}

} // namespace bilberrylead::once_client
