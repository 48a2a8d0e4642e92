#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/membership/member_planner.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

/// Group membership, entry hosts and the listing of upstreams.
namespace bilberrylead::control
{

namespace
{

/// Minimum interval between updates that announce leaving upstreams while the
/// rest of the list is still being read. Each update makes every entry host
/// apply a listing. A leaving upstream must be out of use within three
/// seconds, and a quarter of that is soon enough.
constexpr std::chrono::milliseconds early_listing_interval{400};

std::vector<host_id> names_of(link::group_news const& update)
{
    std::vector<host_id> names;
    names.reserve(update.control_hosts.size());
    for (link::group_host const& host : update.control_hosts)
    {
        names.push_back(host.id);
    }
    return names;
}

} // namespace

void control_reducer::on_peer(link::link_number from,
                              link::entry_presence const& message)
{
    // An entry host that has just started routes its first requests by this
    // plan. Without it, it would route all of them to its own region until
    // the leader's next plan, to upstreams that do not hold the objects, and
    // could then move to its planned shares only at a bounded rate.
    bool const is_new =
        !this->entry_hosts.hosts().contains(this->peer_of(from));
    if (is_new && this->current_plan.has_value() &&
        message.region == this->settings.region)
    {
        this->send(from, this->plan_for_new_host());
    }
    this->record_admission_report(this->peer_of(from), message);
    this->entry_hosts.record_heartbeat(from, this->peer_of(from), message,
                                       this->time);
    std::optional<discovery::listing_delivery_report> const report =
        this->delivery.record_confirmed(this->peer_of(from), message.listing,
                                        this->time);
    if (report.has_value())
    {
        this->record_delivery(*report);
    }
}

void control_reducer::record_delivery(
    discovery::listing_delivery_report const& report)
{
    if (this->reader.has_value())
    {
        this->reader->record_delivery(report.slowest_time);
    }
    this->effects.emplace_back(listing_delivered{report});
}

void control_reducer::on_peer(link::link_number from,
                              link::host_place const& message)
{
    this->places[this->peer_of(from)] = message;
}

void control_reducer::on_peer(link::link_number from,
                              link::group_news const& message)
{
    std::vector<host_id> const names = names_of(message);
    this->reported_members[from] = {names.begin(), names.end()};
    if (this->needs_reported_members())
    {
        this->link_control_hosts();
    }
}

/// A host that hears its leader takes the membership from the replicated log.
/// One that does not may have been removed meanwhile: its log ends before that,
/// and the leader may be a host that it has never heard of.
bool control_reducer::needs_reported_members() const
{
    return this->replica.membership().members.empty() ||
           this->replica.leader().empty();
}

void control_reducer::link_control_hosts()
{
    std::set<host_id> hosts;
    for (agreement::member const& member : this->replica.membership().members)
    {
        hosts.insert(member.host);
    }
    if (this->needs_reported_members())
    {
        for (auto const& [number, reported] : this->reported_members)
        {
            hosts.insert(reported.begin(), reported.end());
        }
    }
    this->effects.emplace_back(link_members{{hosts.begin(), hosts.end()}});
}

link::group_host control_reducer::group_host_of(host_id const& host) const
{
    if (host == this->settings.self)
    {
        return {host, this->settings.zone, this->settings.region};
    }
    auto const found = this->places.find(host);
    return found == this->places.end()
               ? link::group_host{host, {}, {}}
               : link::group_host{host, found->second.zone,
                                  found->second.region};
}

void control_reducer::send_group_update()
{
    link::group_news update;
    for (agreement::member const& member : this->replica.membership().members)
    {
        update.control_hosts.push_back(this->group_host_of(member.host));
    }
    bool const same_group =
        update.control_hosts == this->sent_group.control_hosts;
    if (same_group &&
        this->time - this->group_sent_at < this->settings.entry_count_interval)
    {
        return;
    }
    update.entry_hosts = this->entry_hosts.ready_hosts(this->time);
    update.region_entry_hosts =
        this->entry_hosts.max_ready_hosts_per_region(this->time);
    if (update == this->sent_group || update.control_hosts.empty())
    {
        return;
    }
    this->sent_group = update;
    this->group_sent_at = this->time;
    this->link_control_hosts();
    this->send(this->all_links(), std::move(update));
}

void control_reducer::send_group_update(link::link_number to)
{
    if (!this->sent_group.control_hosts.empty())
    {
        this->send(to, this->sent_group);
    }
}

std::vector<membership::planned_host> control_reducer::planned_hosts() const
{
    std::vector<membership::planned_host> hosts;
    auto const with_location = [this](membership::planned_host host)
    {
        auto const found = this->places.find(host.host);
        if (found != this->places.end())
        {
            host.zone = found->second.zone;
            host.region = found->second.region;
        }
        return host;
    };
    std::set<host_id> member_ids;
    for (agreement::member_state const& state :
         this->replica.members(this->time))
    {
        membership::planned_host host;
        host.host = state.member.host;
        host.incarnation = state.member.incarnation;
        host.member = true;
        host.voter = state.member.voter;
        host.becomes_voter = state.member.voter_when_caught_up;
        host.caught_up = state.caught_up;
        host.time_since_reply = state.time_since_reply;
        host.leader = host.host == this->settings.self;
        host.linked = this->control_links.contains(host.host);
        member_ids.insert(host.host);
        hosts.push_back(with_location(std::move(host)));
    }
    for (auto const& [name, number] : this->control_links)
    {
        if (!member_ids.contains(name) && name != this->settings.self)
        {
            membership::planned_host host;
            host.host = name;
            host.incarnation = this->links.at(number).incarnation;
            host.linked = true;
            hosts.push_back(with_location(std::move(host)));
        }
    }
    return hosts;
}

void control_reducer::plan_membership()
{
    bool const is_due = this->settings.planner.has_value() &&
                        this->replica.role() == agreement::role::leader &&
                        this->time - this->planned_at >=
                            this->settings.membership_plan_interval;
    if (!is_due)
    {
        return;
    }
    this->planned_at = this->time;
    std::optional<agreement::membership_change_requested> change =
        membership::next_change(this->planned_hosts(), *this->settings.planner);
    if (change.has_value())
    {
        this->effects.emplace_back(membership_planned{*change});
        change->token = this->pending.add(no_waiter{});
        this->replica_events.emplace_back(std::move(*change));
    }
}

void control_reducer::read_list()
{
    if (!this->reader.has_value())
    {
        return;
    }
    bool const leads = this->replica.role() == agreement::role::leader;
    if (leads != this->reader->is_active())
    {
        this->set_list_expectation();
        this->reader->set_active(leads, this->time);
    }
    while (std::optional<discovery::page_call> const call =
               this->reader->next_call(this->time))
    {
        this->effects.emplace_back(call_upstream_list{*call});
    }
}

/// Before its first reading, a new leader expects the listing that it last
/// received from its predecessor.
void control_reducer::set_list_expectation()
{
    std::map<upstream_id, discovery::listed_upstream> const& held =
        this->listing.upstreams();
    bool const only_known_zones = std::all_of(
        held.begin(), held.end(),
        [this](auto const& entry)
        {
            return this->reader->has_zone(entry.second.upstream.zone);
        });
    this->reader->expect(held.size(), only_known_zones);
}

void control_reducer::on(list_page_received const& event)
{
    if (!this->reader.has_value())
    {
        return;
    }
    std::optional<std::vector<discovery::listed_upstream>> const upstreams =
        this->reader->page_received(event.number, event.page, this->time);
    // The next page is requested at once: waiting for the timer before each
    // page of a long list would add up to seconds.
    this->read_list();
    std::optional<discovery::list_changes> changes;
    if (upstreams.has_value())
    {
        this->check_listing_budget();
        changes = this->listing.apply_reading(
            *upstreams, this->replica.term(), this->time,
            this->reader->is_last_reading_whole());
    }
    else if (this->time >= this->listing_sent_at + early_listing_interval)
    {
        changes = this->listing.apply_leaving(this->reader->leaving_so_far(),
                                              this->replica.term(), this->time);
    }
    if (changes.has_value())
    {
        this->send_listing(std::move(*changes));
    }
}

void control_reducer::check_listing_budget()
{
    bool const is_kept = this->reader->keeps_budget();
    if (is_kept != this->keeps_listing_budget)
    {
        this->keeps_listing_budget = is_kept;
        this->effects.emplace_back(listing_budget_changed{is_kept});
    }
}

void control_reducer::send_listing(discovery::list_changes changes)
{
    this->listing_sent_at = this->time;
    this->record_listing_change(changes,
                                this->reader->max_change_age(this->time));
    std::set<host_id> receivers;
    for (auto const& [number, peer] : this->links)
    {
        if (peer.role == link::peer_role::entry)
        {
            receivers.insert(peer.id);
        }
    }
    std::optional<discovery::listing_delivery_report> const incomplete =
        this->delivery.record_sent(changes.target, std::move(receivers),
                                   this->time);
    this->send(this->all_links(), link::upstream_update{std::move(changes)});
    if (incomplete.has_value())
    {
        this->record_delivery(*incomplete);
    }
}

void control_reducer::on(list_call_failed const& event)
{
    if (this->reader.has_value())
    {
        this->reader->call_failed(event.number, this->time);
    }
}

void control_reducer::record_listing_change(
    discovery::list_changes const& changes, std::optional<duration> max_age)
{
    this->effects.emplace_back(listing_changed{
        changes.target, changes.put.size(), changes.removed.size(),
        this->listing.upstreams().size(), max_age});
}

void control_reducer::on_peer(link::link_number from,
                              link::upstream_update const& message)
{
    switch (this->listing.apply(message.changes, this->time))
    {
    case discovery::apply_result::applied:
        this->record_listing_change(message.changes, std::nullopt);
        return;
    case discovery::apply_result::base_mismatch:
        this->send(from, link::upstream_request{this->listing.position()});
        return;
    case discovery::apply_result::not_newer:
        return;
    }
}

void control_reducer::on_peer(link::link_number from,
                              link::upstream_request const& message)
{
    if (message.held < this->listing.position())
    {
        this->send(from, link::upstream_update{this->listing.changes_since(
                             message.held, this->time)});
    }
}

void control_reducer::request_listing()
{
    bool const is_due =
        this->reader.has_value() && this->time - this->listing_requested_at >=
                                        this->settings.listing_refresh;
    std::map<host_id, link::link_number>::const_iterator const leader =
        this->control_links.find(this->replica.leader());
    if (is_due && leader != this->control_links.end())
    {
        this->listing_requested_at = this->time;
        this->send(leader->second,
                   link::upstream_request{this->listing.position()});
    }
}

} // namespace bilberrylead::control
