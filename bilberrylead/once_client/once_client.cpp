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
once_client::reduce(once_client_event const& what, instant now)
{
    assert(now >= this->time);
    this->time = now;
    this->effects.clear();
    std::visit(
        [this](auto const& event)
        {
            this->on(event);
        },
        what);
    this->note_reachability();
    return std::move(this->effects);
}

bool once_client::reachable() const
{
    return this->is_registered && this->leader_link().has_value();
}

request_id once_client::id_of(local_request request) const
{
    return request_id(fmt::format("{}.{}.{}", this->settings.self.text(),
                                  this->settings.incarnation, request));
}

void once_client::on(control_link_opened const& what)
{
    this->links[what.link] = what.host;
    this->register_self();
}

void once_client::on(control_link_closed const& what)
{
    bool const was_leader = this->leader_link() == what.link;
    this->links.erase(what.link);
    if (!was_leader)
    {
        return;
    }

    // What was on its way may be lost with the link.
    for (command_map::value_type& row : this->commands)
    {
        row.second.is_sent = false;
    }
    this->send_open();
}

void once_client::on(leader_named const& what)
{
    if (!what.content.leader.empty() && what.content.leader != this->leader)
    {
        this->leader = what.content.leader;
        for (command_map::value_type& row : this->commands)
        {
            row.second.is_sent = false;
        }
    }
    command_map::iterator const refused =
        this->commands.find(what.content.refused_number);
    if (refused != this->commands.end())
    {
        refused->second.is_sent = false;
    }

    // A host that refuses while it names itself is just losing its office;
    // the next tick asks again, this event must not, or the two would
    // exchange refusals as fast as the link allows.
    bool const names_itself = what.content.refused_number != 0 &&
                              this->links[what.link] == what.content.leader;
    if (!names_itself)
    {
        this->register_self();
        this->send_open();
    }
}

void once_client::on(registration_answered const& what)
{
    once::registration const& result = what.content.result;
    if (result.accepted && result.incarnation == this->incarnation)
    {
        this->is_registered = true;
        this->send_open();
    }
    else if (!result.accepted && result.incarnation >= this->incarnation)
    {
        // An earlier life had a larger number: the wall clock went back.
        this->incarnation = result.incarnation + 1;
        this->is_registered = false;
        this->registration_sent_at = {};
        this->register_self();
    }
}

void once_client::on(verdict_received const& what)
{
    command_map::iterator const found =
        this->commands.find(what.content.number);
    if (found == this->commands.end() ||
        !std::holds_alternative<once::claim>(found->second.command))
    {
        return;
    }
    local_request const request = found->second.request;
    this->commands.erase(found);
    --this->open_claims;
    this->effects.emplace_back(claim_decided{request, what.content.verdict});
}

void once_client::on(settlement_received const& what)
{
    command_map::iterator const found =
        this->commands.find(what.content.number);
    if (found == this->commands.end() ||
        std::holds_alternative<once::claim>(found->second.command))
    {
        return;
    }
    local_request const request = found->second.request;
    bool const was_completion =
        std::holds_alternative<once::complete>(found->second.command);
    this->commands.erase(found);
    if (was_completion)
    {
        this->effects.emplace_back(completion_recorded{request});
    }
}

void once_client::on(claim_wanted const& what)
{
    // Without a leader nothing can be claimed within the caller's time.
    bool const no_room = this->open_claims >= this->settings.most_open_claims;
    if (!this->reachable() || no_room)
    {
        once::claim_refusal const reason = no_room
                                               ? once::claim_refusal::no_room
                                               : once::claim_refusal::no_quorum;
        this->effects.emplace_back(claim_decided{
            what.request,
            once::claim_refused{reason, this->settings.retry_after}});
        return;
    }
    once::claim command;
    command.key = what.key;
    command.body_digest = what.body_digest;
    command.request = this->id_of(what.request);
    command.entry_host = this->settings.self;
    command.incarnation = this->incarnation;
    ++this->open_claims;
    this->add(what.request, std::move(command));
}

void once_client::on(completion_wanted const& what)
{
    this->add_report(
        what.request,
        once::complete{what.key, this->id_of(what.request), what.answer});
}

void once_client::on(release_wanted const& what)
{
    this->add_report(what.request,
                     once::release{what.key, this->id_of(what.request)});
}

void once_client::on(unknown_wanted const& what)
{
    this->add_report(what.request,
                     once::mark_unknown{what.key, this->id_of(what.request)});
}

void once_client::on(client_tick const&)
{
    this->register_self();
    this->give_up_late_claims();
    this->send_again();
}

void once_client::add_report(local_request request, once::once_command command)
{
    std::size_t const reports = this->commands.size() - this->open_claims;
    if (reports >= this->settings.most_open_reports)
    {
        for (command_map::iterator row = this->commands.begin();
             row != this->commands.end(); ++row)
        {
            if (!std::holds_alternative<once::claim>(row->second.command))
            {
                this->commands.erase(row);
                break;
            }
        }
    }
    this->add(request, std::move(command));
}

void once_client::add(local_request request, once::once_command command)
{
    ++this->last_number;
    open_command& added = this->commands[this->last_number];
    added.request = request;
    added.command = std::move(command);
    added.wanted_at = this->time;
    this->send(this->last_number, added);
}

std::optional<link::link_number> once_client::leader_link() const
{
    // The newest link to the leader: an older one may have gone silent.
    for (auto row = this->links.rbegin(); row != this->links.rend(); ++row)
    {
        if (row->second == this->leader)
        {
            return row->first;
        }
    }
    return std::nullopt;
}

void once_client::register_self()
{
    std::optional<link::link_number> const link = this->leader_link();
    bool const is_due =
        this->registration_sent_at == instant{} ||
        this->time - this->registration_sent_at >= this->settings.resend_after;
    if (this->is_registered || !link.has_value() || !is_due)
    {
        return;
    }
    this->registration_sent_at = this->time;
    this->effects.emplace_back(
        send_to_control{*link, link::registration_request{this->incarnation}});
}

void once_client::send_open()
{
    for (command_map::value_type& row : this->commands)
    {
        if (!row.second.is_sent)
        {
            this->send(row.first, row.second);
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

void once_client::send_again()
{
    for (command_map::value_type& row : this->commands)
    {
        open_command& command = row.second;
        bool const is_due = !command.is_sent || this->time - command.sent_at >=
                                                    this->settings.resend_after;
        if (is_due)
        {
            this->send(row.first, command);
        }
    }
}

void once_client::give_up_late_claims()
{
    std::vector<std::uint64_t> late;
    for (command_map::value_type const& row : this->commands)
    {
        bool const is_claim =
            std::holds_alternative<once::claim>(row.second.command);
        if (is_claim &&
            this->time - row.second.wanted_at >= this->settings.claim_timeout)
        {
            late.push_back(row.first);
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

void once_client::note_reachability()
{
    if (this->reachable() != this->was_reachable)
    {
        this->was_reachable = this->reachable();
        this->effects.emplace_back(reachability_changed{this->was_reachable});
    }
}

} // namespace bilberrylead::once_client
