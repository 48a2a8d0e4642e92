#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/core/error.hpp"

#include <algorithm>
#include <utility>

/// When accepted changes are confirmed to operators. A confirmation promises
/// that the change is in force within a bound; the promise must not depend on
/// the host that gives it.
namespace bilberrylead::control
{

void control_reducer::hold_confirmation(waiting_operator const& requester,
                                        operator_reply reply)
{
    // A change that is sent again waits from its first commit, so that
    // operators get an answer although each of their calls is short.
    this->held_confirmations.push_back(
        {requester.number, std::move(reply), this->published_index,
         this->exchange.current_revision(),
         std::max(this->published_at, this->leader_since)});
}

void control_reducer::confirm_changes()
{
    if (this->held_confirmations.empty())
    {
        return;
    }
    std::vector<held_confirmation> const held =
        std::exchange(this->held_confirmations, {});
    bool const leads = this->replica.role() == agreement::role::leader;
    for (held_confirmation const& each : held)
    {
        if (!leads)
        {
            this->answer(
                each.number,
                make_error(error_kind::timeout,
                           "The host lost the leadership before the change "
                           "was in force.",
                           "Send the change again with the same change id to "
                           "get its outcome."));
        }
        else if (this->is_confirmable(each))
        {
            this->confirm(each);
        }
        else
        {
            this->held_confirmations.push_back(each);
        }
    }
}

/// A leader that no quorum hears confirms nothing, however long that takes. An
/// entry host that does not respond must not keep operators waiting.
bool control_reducer::is_confirmable(held_confirmation const& held) const
{
    if (this->settings.confirmation_wait == duration::zero())
    {
        return true;
    }
    bool const is_overdue =
        this->time - held.accepted_at >= this->settings.confirmation_wait;
    bool const knows_entry_hosts =
        this->time - this->leader_since >= this->settings.entry_link_time;
    return this->replica.quorum_commit_index() >= held.index &&
           (is_overdue || (knows_entry_hosts &&
                           this->exchange.is_in_force_at_all(held.awaited)));
}

void control_reducer::confirm(held_confirmation const& held)
{
    change_confirmed confirmed;
    confirmed.number = held.awaited;
    confirmed.waited = this->time - held.accepted_at;
    for (auto const& [host, in_force] : this->exchange.peer_revisions())
    {
        ++confirmed.hosts;
        if (in_force < confirmed.number)
        {
            ++confirmed.hosts_behind;
            confirmed.behind = host;
        }
    }
    this->effects.emplace_back(std::move(confirmed));
    this->answer(held.number, held.reply);
}

} // namespace bilberrylead::control
