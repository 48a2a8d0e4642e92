#include "bilberrylead/distribution/revision_exchange.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bilberrylead::distribution
{

revision_exchange::revision_exchange(exchange_settings const& settings)
    : settings(settings)
{
    if (!settings.is_source && settings.first_revision_wait > duration::zero())
    {
        this->first.emplace(settings.first_revision_wait,
                            settings.control_hosts);
    }
}

std::vector<exchange_effect>
revision_exchange::reduce(exchange_event const& event, instant now)
{
    assert(now >= this->time);
    this->time = now;
    this->effects.clear();
    std::visit(
        [this](auto const& typed_event)
        {
            this->on(typed_event);
        },
        event);
    return std::move(this->effects);
}

revision revision_exchange::current_revision() const
{
    return this->current;
}

std::size_t revision_exchange::count_acknowledged(revision number) const
{
    return static_cast<std::size_t>(
        std::count_if(this->links.begin(), this->links.end(),
                      [number](link_map::value_type const& row)
                      {
                          return row.second.subscribed &&
                                 row.second.revision_in_force >= number;
                      }));
}

std::map<host_id, revision> revision_exchange::peer_revisions() const
{
    std::map<host_id, revision> result;
    for (link_map::value_type const& row : this->links)
    {
        if (row.second.subscribed)
        {
            revision& newest = result[row.second.peer.id];
            newest = std::max(newest, row.second.revision_in_force);
        }
    }
    return result;
}

bool revision_exchange::is_in_force_at_all(revision number) const
{
    return std::all_of(this->links.begin(), this->links.end(),
                       [this, number](link_map::value_type const& row)
                       {
                           return !row.second.subscribed ||
                                  row.second.revision_in_force >= number ||
                                  this->is_in_force_at(row.second.peer.id,
                                                       number);
                       });
}

bool revision_exchange::is_in_force_at(host_id const& host,
                                       revision number) const
{
    return std::any_of(this->links.begin(), this->links.end(),
                       [&host, number](link_map::value_type const& row)
                       {
                           return row.second.revision_in_force >= number &&
                                  row.second.peer.id == host;
                       });
}

void revision_exchange::on(link_opened const& event)
{
    this->links[event.link].peer = event.peer;
    if (this->settings.is_source)
    {
        return;
    }

    // An entry host subscribes over every link and requests pushes over one.
    this->choose_pushing_link();
    this->subscribe(event.link);
}

void revision_exchange::on(link_closed const& event)
{
    this->links.erase(event.link);
    this->fetched_from.erase(event.link);
    if (this->pushing_link == event.link)
    {
        // The pushing link has closed, perhaps with a revision in flight. The
        // peer of the new pushing link sends whatever is missing.
        this->pushing_link.reset();
        this->choose_pushing_link();
    }
    this->settle_first();
}

void revision_exchange::on(subscription_received const& event)
{
    link_map::iterator const found = this->links.find(event.link);
    if (found == this->links.end())
    {
        return;
    }

    // The revision that the peer reports is authoritative: an earlier update
    // may have been lost, and a restarted peer holds nothing.
    peer_link& from = found->second;
    bool const upgrades_delivery =
        event.content.wanted == link::delivery::pushed &&
        from.requested_delivery == link::delivery::announced;
    if (!from.subscribed || upgrades_delivery)
    {
        from.sent_revision = 0;
    }
    from.subscribed = true;
    from.requested_delivery = event.content.wanted;
    from.revision_in_force = event.content.in_force;
    this->notify(event.link, from);
}

void revision_exchange::on(announcement_received const& event)
{
    if (!this->settings.is_source && event.content.in_force > this->current)
    {
        this->record_report(event.link, event.content.in_force);
        this->record_answer(event.link);
    }
}

void revision_exchange::on(update_received const& event)
{
    // Revisions are strictly increasing: they may arrive in any order over
    // two links, and a peer that was frozen may send an old one.
    bool const is_older = event.content.target <= this->current;
    if (this->settings.is_source || is_older || event.content.base != 0)
    {
        return;
    }
    this->record_report(event.link, event.content.target);
    if (this->first.has_value())
    {
        this->hold(event.content);
        this->record_answer(event.link);
        return;
    }
    this->put_in_force(event.content.target,
                       std::make_shared<bytes const>(event.content.content),
                       std::nullopt);
}

void revision_exchange::on(leader_notice_received const& event)
{
    link_map::const_iterator const found = this->links.find(event.link);
    if (this->first.has_value() && found != this->links.end())
    {
        this->first->leader_received(found->second.peer.id,
                                     !event.content.leader.empty());
    }
}

void revision_exchange::on(group_news_received const& event)
{
    if (this->first.has_value())
    {
        this->first->group_received(event.content);
        this->settle_first();
    }
}

void revision_exchange::on(revision_published const& event)
{
    if (event.number <= this->current)
    {
        return;
    }
    this->install(event.number, event.document);
    this->notify_all();
}

void revision_exchange::on(exchange_tick const&)
{
    if (this->settings.is_source)
    {
        return;
    }
    this->fetch_missing();
    this->settle_first();
    if (this->time - this->refreshed_at >= this->settings.refresh_interval)
    {
        this->subscribe_all();
    }
}

void revision_exchange::install(revision number, shared_document content)
{
    assert(number > this->current);
    this->current = number;
    this->document = std::move(content);
    if (!this->is_missing_any())
    {
        this->missing_since.reset();
    }
    this->fetched_from.clear();
}

void revision_exchange::put_in_force(
    revision number, shared_document content,
    std::optional<first_revision_choice> const& choice)
{
    this->install(number, std::move(content));
    this->effects.emplace_back(
        install_revision{this->current, this->document, choice});
    this->notify_all();
    this->subscribe_all();
}

void revision_exchange::record_answer(link::link_number number)
{
    link_map::iterator const found = this->links.find(number);
    if (!this->first.has_value() || found == this->links.end())
    {
        return;
    }
    this->first->answer_received(found->second.peer, this->time);
    this->settle_first();
}

void revision_exchange::hold(link::configuration_update const& update)
{
    if (update.target > this->held)
    {
        this->held = update.target;
        this->held_document = std::make_shared<bytes const>(update.content);
    }
}

/// Puts the first revision in force once enough peers have answered and the
/// newest revision that they hold has arrived, or is overdue.
void revision_exchange::settle_first()
{
    if (!this->first.has_value())
    {
        return;
    }
    link_map::const_iterator const newest = this->newest_link();
    bool const is_missing = newest != this->links.end() &&
                            newest->second.reported_revision > this->held;
    if (is_missing)
    {
        this->fetch_first(newest);
    }
    std::optional<first_revision_choice> const choice =
        this->first->choose(this->time);
    if (!choice.has_value() || this->held == 0)
    {
        return;
    }
    if (!this->chosen_at.has_value())
    {
        this->chosen_at = this->time;
    }
    bool const is_overdue =
        this->time - *this->chosen_at >= this->settings.first_revision_wait;
    if (is_missing && !is_overdue)
    {
        return;
    }
    this->first.reset();
    this->put_in_force(this->held, std::move(this->held_document), choice);
}

/// Fetches a newer revision at once if the peer of the pushing link has sent an
/// older one. Otherwise its push may be in flight, and fetch_missing() replaces
/// it when it does not arrive.
void revision_exchange::fetch_first(link_map::const_iterator newest)
{
    if (!this->pushing_link.has_value())
    {
        return;
    }
    revision const pushed =
        this->links.at(*this->pushing_link).reported_revision;
    if (pushed > 0 && pushed < newest->second.reported_revision)
    {
        this->request_pushes(newest->first);
    }
}

revision_exchange::link_map::const_iterator
revision_exchange::newest_link() const
{
    return std::max_element(
        this->links.begin(), this->links.end(),
        [](link_map::value_type const& one, link_map::value_type const& other)
        {
            return one.second.reported_revision <
                   other.second.reported_revision;
        });
}

void revision_exchange::notify(link::link_number number, peer_link& peer)
{
    bool const is_up_to_date =
        std::max(peer.revision_in_force, peer.sent_revision) >= this->current;
    if (!peer.subscribed || is_up_to_date)
    {
        return;
    }
    peer.sent_revision = this->current;
    if (peer.requested_delivery == link::delivery::pushed)
    {
        this->send(number, link::configuration_update{this->current, 0,
                                                      *this->document});
    }
    else
    {
        this->send(number, link::revision_announcement{this->current});
    }
}

void revision_exchange::notify_all()
{
    for (link_map::value_type& row : this->links)
    {
        this->notify(row.first, row.second);
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

    // Control hosts are preferred, since other entry hosts get a revision one
    // hop later. Among equals the oldest link is preferred, since it has
    // proven stable.
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
    this->request_pushes(best->first);
}

void revision_exchange::request_pushes(link::link_number number)
{
    std::optional<link::link_number> const previous = this->pushing_link;
    this->pushing_link = number;
    this->subscribe(number);
    if (previous.has_value())
    {
        this->subscribe(*previous);
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

void revision_exchange::record_report(link::link_number number,
                                      revision reported)
{
    link_map::iterator const found = this->links.find(number);
    if (found == this->links.end())
    {
        return;
    }
    revision& newest = found->second.reported_revision;
    newest = std::max(newest, reported);
    if (this->is_missing_from(found->second) &&
        !this->missing_since.has_value())
    {
        this->missing_since = this->time;
    }
}

bool revision_exchange::is_missing_from(peer_link const& peer) const
{
    return peer.reported_revision > std::max(this->current, this->held);
}

bool revision_exchange::is_missing_any() const
{
    return std::any_of(this->links.begin(), this->links.end(),
                       [this](link_map::value_type const& row)
                       {
                           return this->is_missing_from(row.second);
                       });
}

void revision_exchange::fetch_missing()
{
    if (!this->is_missing_any())
    {
        this->missing_since.reset();
        return;
    }
    if (!this->missing_since.has_value() ||
        this->time - *this->missing_since < this->settings.fetch_after)
    {
        return;
    }

    // The pushing link does not deliver, so a link whose peer holds the
    // revision becomes the pushing link. A peer announces a revision only once,
    // so the announcements of all links are kept: the first peer asked may be
    // gone or unresponsive.
    this->missing_since = this->time;
    link::link_number const next = this->next_link_to_fetch_from();
    if (this->pushing_link == next)
    {
        this->subscribe_all();
        return;
    }
    this->request_pushes(next);
}

/// The link with the newest missing revision among those not fetched from yet;
/// starts again once all were. At least one link must have a missing revision.
link::link_number revision_exchange::next_link_to_fetch_from()
{
    link_map::const_iterator best = this->links.end();
    while (best == this->links.end())
    {
        for (link_map::const_iterator row = this->links.begin();
             row != this->links.end(); ++row)
        {
            bool const is_candidate = this->is_missing_from(row->second) &&
                                      !this->fetched_from.contains(row->first);
            if (is_candidate && (best == this->links.end() ||
                                 row->second.reported_revision >
                                     best->second.reported_revision))
            {
                best = row;
            }
        }
        if (best == this->links.end())
        {
            assert(!this->fetched_from.empty());
            this->fetched_from.clear();
        }
    }
    this->fetched_from.insert(best->first);
    return best->first;
}

void revision_exchange::send(link::link_number to, link::message content)
{
    this->effects.emplace_back(send_message{to, std::move(content)});
}

} // namespace bilberrylead::distribution
