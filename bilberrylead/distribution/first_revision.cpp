#include "bilberrylead/distribution/first_revision.hpp"

#include "bilberrylead/link/messages/group_host.hpp"

#include <algorithm>
#include <utility>

namespace bilberrylead::distribution
{

first_revision::first_revision(duration longest_wait,
                               std::set<host_id> control_hosts)
    : wait(longest_wait), group(std::move(control_hosts))
{
}

void first_revision::group_received(link::group_news const& news)
{
    if (news.control_hosts.empty())
    {
        return;
    }
    if (!this->group_is_reported)
    {
        this->group_is_reported = true;
        this->group.clear();
    }
    for (link::group_host const& host : news.control_hosts)
    {
        this->group.insert(host.id);
    }
}

void first_revision::leader_received(host_id const& host, bool is_named)
{
    if (is_named)
    {
        this->naming_leader.insert(host);
    }
    else
    {
        this->naming_leader.erase(host);
    }
}

void first_revision::answer_received(link::peer_identity const& peer,
                                     instant now)
{
    if (!this->first_answer_at.has_value())
    {
        this->first_answer_at = now;
    }
    if (peer.role == link::peer_role::control)
    {
        this->answered.insert(peer.id);
        this->leader_backed =
            this->leader_backed || this->naming_leader.contains(peer.id);
    }
}

std::optional<first_revision_choice> first_revision::choose(instant now) const
{
    if (!this->first_answer_at.has_value())
    {
        return std::nullopt;
    }
    first_revision_choice choice;
    choice.answers = this->count_answers();
    choice.control_hosts = this->group.size();
    choice.waited = now - *this->first_answer_at;
    if (this->leader_backed)
    {
        choice.basis = first_revision_basis::leader;
    }
    else if (this->is_majority(choice.answers))
    {
        choice.basis = first_revision_basis::majority;
    }
    else if (choice.waited < this->wait)
    {
        return std::nullopt;
    }
    return choice;
}

std::size_t first_revision::count_answers() const
{
    return static_cast<std::size_t>(std::count_if(
        this->answered.begin(), this->answered.end(),
        [this](host_id const& host)
        {
            return this->group.empty() || this->group.contains(host);
        }));
}

bool first_revision::is_majority(std::size_t answers) const
{
    return !this->group.empty() && answers > this->group.size() / 2;
}

} // namespace bilberrylead::distribution
