#include "bilberrylead/distribution/revision_exchange.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bilberrylead::distribution
{

revision_exchange::revision_exchange(exchange_settings const& settings)
    : settings(settings)
{
}

std::vector<exchange_effect>
revision_exchange::reduce(exchange_event const& what, instant now)
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
    return std::move(this->effects);
}

revision revision_exchange::held() const
{
    return this->current;
}

std::size_t revision_exchange::acknowledged(revision wanted) const
{
    return static_cast<std::size_t>(std::count_if(
        this->links.begin(), this->links.end(),
        [wanted](link_map::value_type const& row)
        {
            return row.second.subscribed && row.second.peer_in_force >= wanted;
        }));
}

std::map<host_id, revision> revision_exchange::peers_in_force() const
{
    std::map<host_id, revision> result;
    for (link_map::value_type const& row : this->links)
    {
        if (row.second.subscribed)
        {
            revision& known = result[row.second.peer.id];
            known = std::max(known, row.second.peer_in_force);
        }
    }
    return result;
}

void revision_exchange::on(link_opened const& what)
{
    this->links[what.link].peer = what.peer;
    if (this->settings.is_source)
    {
        return;
    }

    // Entry hosts subscribe to everybody, and are pushed to by one.
    this->choose_pushing_link();
    this->subscribe(what.link);
}

void revision_exchange::on(link_closed const& what)
{
    this->links.erase(what.link);
    if (this->pushing_link != what.link)
    {
        return;
    }

    // The chosen link died, perhaps with a revision on its way: another one
    // is chosen now, and its peer sends whatever is missing.
    this->pushing_link.reset();
    this->choose_pushing_link();
}

void revision_exchange::on(subscription_received const& what)
{
    link_map::iterator const found = this->links.find(what.link);
    if (found == this->links.end())
    {
        return;
    }

    // What the peer says it has is the truth: it may have lost what was
    // sent, and a restarted one starts again from nothing.
    peer_link& from = found->second;
    bool const wants_more = what.content.wanted == link::delivery::pushed &&
                            from.wanted == link::delivery::announced;
    if (!from.subscribed || wants_more)
    {
        from.told = 0;
    }
    from.subscribed = true;
    from.wanted = what.content.wanted;
    from.peer_in_force = what.content.in_force;
    this->tell(what.link, from);
}

void revision_exchange::on(announcement_received const& what)
{
    if (!this->settings.is_source && what.content.in_force > this->current)
    {
        this->note_missing(what.link, what.content.in_force);
    }
}

void revision_exchange::on(update_received const& what)
{
    // Strictly increasing: two links may bring revisions in any order, and
    // a peer that was frozen may wake up with an old one.
    bool const is_older = what.content.target <= this->current;
    if (this->settings.is_source || is_older || what.content.base != 0)
    {
        return;
    }
    this->hold(what.content.target,
               std::make_shared<bytes const>(what.content.content));
    this->effects.emplace_back(install_revision{this->current, this->document});
    this->tell_all();
    this->subscribe_all();
}

void revision_exchange::on(published const& what)
{
    if (what.number <= this->current)
    {
        return;
    }
    this->hold(what.number, what.document);
    this->tell_all();
}

void revision_exchange::on(exchange_tick const&)
{
    if (this->settings.is_source)
    {
        return;
    }
    this->fetch_missing();
    if (this->time - this->refreshed_at >= this->settings.refresh_interval)
    {
        this->subscribe_all();
    }
}

void revision_exchange::hold(revision number, shared_document content)
{
    assert(number > this->current);
    this->current = number;
    this->document = std::move(content);
    if (this->announced <= this->current)
    {
        this->announced = 0;
    }
}

void revision_exchange::tell(link::link_number number, peer_link& to)
{
    bool const knows = std::max(to.peer_in_force, to.told) >= this->current;
    if (!to.subscribed || knows)
    {
        return;
    }
    to.told = this->current;
    if (to.wanted == link::delivery::pushed)
    {
        this->send(number, link::configuration_update{this->current, 0,
                                                      *this->document});
    }
    else
    {
        this->send(number, link::revision_announcement{this->current});
    }
}

void revision_exchange::tell_all()
{
    for (link_map::value_type& row : this->links)
    {
        this->tell(row.first, row.second);
    }
}

void revision_exchange::choose_pushing_link()
{
    if (this->pushing_link.has_value())
    {
        bool const is_control = this->links.at(*this->pushing_link).peer.role ==
                                link::peer_role::control;
        if (is_control)
        {
            return;
        }
    }

    // Control hosts first: a neighbour knows a revision one step later. The
    // oldest link among equals, since it has proven to last.
    link_map::const_iterator best = this->links.end();
    for (link_map::const_iterator row = this->links.begin();
         row != this->links.end(); ++row)
    {
        bool const is_control =
            row->second.peer.role == link::peer_role::control;
        if (best == this->links.end() ||
            (is_control && best->second.peer.role != link::peer_role::control))
        {
            best = row;
        }
    }
    if (best == this->links.end() || this->pushing_link == best->first)
    {
        return;
    }
    std::optional<link::link_number> const before = this->pushing_link;
    this->pushing_link = best->first;
    this->subscribe(best->first);
    if (before.has_value())
    {
        this->subscribe(*before);
    }
}

void revision_exchange::subscribe(link::link_number number)
{
    bool const pushed = this->pushing_link == number;
    this->send(number, link::subscription{this->current,
                                          pushed ? link::delivery::pushed
                                                 : link::delivery::announced});
}

void revision_exchange::subscribe_all()
{
    this->refreshed_at = this->time;
    for (link_map::value_type const& row : this->links)
    {
        this->subscribe(row.first);
    }
}

void revision_exchange::note_missing(link::link_number announced_by,
                                     revision number)
{
    if (this->announced == 0)
    {
        this->announced_at = this->time;
    }
    if (number > this->announced)
    {
        this->announced = number;
        this->announcer = announced_by;
    }
}

void revision_exchange::fetch_missing()
{
    bool const is_due =
        this->announced > this->current &&
        this->time - this->announced_at >= this->settings.fetch_after;
    if (!is_due)
    {
        return;
    }

    // The chosen link does not deliver: the announcer becomes the chosen
    // one. If it is gone, its closing chose another link already.
    this->announced_at = this->time;
    if (!this->links.contains(this->announcer) ||
        this->pushing_link == this->announcer)
    {
        this->subscribe_all();
        return;
    }
    std::optional<link::link_number> const before = this->pushing_link;
    this->pushing_link = this->announcer;
    this->subscribe(this->announcer);
    if (before.has_value())
    {
        this->subscribe(*before);
    }
}

void revision_exchange::send(link::link_number to, link::message content)
{
    this->effects.emplace_back(send_message{to, std::move(content)});
}

} // namespace bilberrylead::distribution
