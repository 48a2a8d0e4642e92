#include "bilberrylead/daemon/entry_program_parts.hpp"

#include "bilberrylead/core/log_line.hpp"
#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/link/thousandths.hpp"
#include "bilberrylead/policy/crash_history.hpp"
#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// What other hosts tell an entry host, and what it tells them.
namespace bilberrylead::daemon
{

namespace
{

using error_code = boost::system::error_code;

constexpr part_log log{"entry"};

/// Pause between two heartbeats to a control host; three may be missed
/// before callers are sent elsewhere.
constexpr std::chrono::milliseconds heartbeat_interval{500};
/// The source in the peer book that stands for the chosen control hosts.
constexpr std::uint64_t chosen_hosts = 0;
/// How often a control host is asked for a newer listing of upstreams.
constexpr std::chrono::seconds listing_refresh{1};

std::string_view text_of(distribution::first_revision_basis basis)
{
    switch (basis)
    {
    case distribution::first_revision_basis::leader:
        return "one names a leader";
    case distribution::first_revision_basis::majority:
        return "a majority";
    case distribution::first_revision_basis::timeout:
        break;
    }
    return "the wait is over";
}

/// `control_hosts` is 0 in a choice if the group is unknown.
std::string group_size_text(distribution::first_revision_choice const& choice)
{
    return choice.control_hosts == 0 ? std::string("an unknown number")
                                     : fmt::to_string(choice.control_hosts);
}

void log_first_revision(revision number,
                        distribution::first_revision_choice const& choice)
{
    log.info(
        "Revision {} is chosen at the start: {} of {} control hosts "
        "answered ({}), {} ms after the first answer.",
        number, choice.answers, group_size_text(choice), text_of(choice.basis),
        std::chrono::duration_cast<std::chrono::milliseconds>(choice.waited)
            .count());
}

} // namespace

void entry_program::implementation::dial_peers()
{
    for (config::host_address const& host : this->settings.control_hosts)
    {
        this->peers->dial(host.address);
    }
    for (config::host_address const& host : this->settings.neighbours)
    {
        this->peers->dial(host.address);
    }
    if (this->settings.forms_itself())
    {
        this->book.emplace(*this->peers, this->settings.peer_listen);
        this->links_seeds = true;
        this->book->set_seeds(this->settings.seeds);
    }
}

void entry_program::implementation::on_connected(
    link::link_number number, link::peer_identity const& peer)
{
    this->links[number] = peer;
    this->update_peer_contact();
    this->on_exchange(distribution::link_opened{number, peer});
    std::vector<policy::crash_record> crashes =
        this->server->crash_history().records();
    if (!crashes.empty())
    {
        this->tell_crashes({std::move(crashes), number});
    }
    if (peer.role == link::peer_role::control)
    {
        this->on_claims(once_client::control_link_opened{number, peer.id});
        this->tell_presence(number);
        this->send(number, link::upstream_request{this->listing.position()});
        if (!this->has_upstream_contact)
        {
            this->tell_contact(number);
        }
    }
}

void entry_program::implementation::on_disconnected(link::link_number number)
{
    this->on_exchange(distribution::link_closed{number});
    this->heard_entry_hosts.erase(number);
    this->reported_leaders.erase(number);
    this->control_links.link_closed(number);
    this->link_control_hosts();
    if (this->links.at(number).role == link::peer_role::control)
    {
        this->on_claims(once_client::control_link_closed{number});
    }
    this->links.erase(number);
    this->update_peer_contact();
}

/// Without a leader for some time, this host may be on the smaller side of a
/// partition, whose reports do not reach the other side.
void entry_program::implementation::update_peer_contact()
{
    bool const is_in_contact = !this->links.empty() && !this->links_seeds;
    if (is_in_contact != this->has_peer_contact)
    {
        this->has_peer_contact = is_in_contact;
        this->server->dispatch(entry::peer_contact_changed{is_in_contact});
    }
}

void entry_program::implementation::on_message(link::link_number number,
                                               bytes const& said)
{
    struct taker
    {
        void operator()(link::subscription const& held) const
        {
            this->owner.on_exchange(
                distribution::subscription_received{this->number, held});
        }

        void operator()(link::revision_announcement const& held) const
        {
            this->owner.on_exchange(
                distribution::announcement_received{this->number, held});
        }

        void operator()(link::configuration_update const& held) const
        {
            this->owner.on_exchange(
                distribution::update_received{this->number, held});
        }

        void operator()(link::leader_notice const& held) const
        {
            this->owner.on_exchange(
                distribution::leader_notice_received{this->number, held});
            this->owner.log_leader_notice(this->number, held.leader);
            this->owner.on_leader(held.leader);
            this->owner.control_links.leader_received(this->number, held.leader,
                                                      clock_now());
            this->owner.link_control_hosts();
            this->owner.on_claims(
                once_client::leader_notice_received{this->number, held});
        }

        void operator()(link::registration_reply const& held) const
        {
            this->owner.on_claims(
                once_client::registration_reply_received{held});
        }

        void operator()(link::claim_reply const& held) const
        {
            this->owner.on_claims(once_client::claim_reply_received{held});
        }

        void operator()(link::settle_reply const& held) const
        {
            this->owner.on_claims(once_client::settle_reply_received{held});
        }

        void operator()(link::group_news const& held) const
        {
            this->owner.on_exchange(
                distribution::group_news_received{this->number, held});
            this->owner.on_group(this->number, held);
        }

        void operator()(link::upstream_update const& held) const
        {
            this->owner.on_listing(this->number, held);
        }

        void operator()(link::region_plan const& held) const
        {
            this->owner.on_plan(held);
        }

        void operator()(link::crash_report const& held) const
        {
            this->owner.server->dispatch(
                entry::crash_records_received{this->number, held.records});
        }

        void operator()(link::limit_notice const& held) const
        {
            if (held.sender != this->owner.settings.id)
            {
                this->owner.server->dispatch(
                    entry::limits_received{held.sender, held.reports});
            }
        }

        void operator()(link::customer_shares const& message) const
        {
            this->owner.server->dispatch(
                entry::limits_allocated{message.content});
        }

        void operator()(link::relay_host_list const& held) const
        {
            this->owner.on_relay_hosts(held);
        }

        void operator()(link::upstream_contact_notice const&) const
        {
        }

        void operator()(link::customer_usage_report const&) const
        {
        }

        void operator()(link::entry_presence const&) const
        {
        }

        void operator()(link::host_place const&) const
        {
        }

        void operator()(link::upstream_request const&) const
        {
        }

        void operator()(link::replica_message const&) const
        {
        }

        void operator()(link::registration_request const&) const
        {
        }

        void operator()(link::once_request const&) const
        {
        }

        implementation& owner;
        link::link_number number;
    };

    absl::StatusOr<link::message> const content = link::decode(said);
    if (!content.ok())
    {
        log.warning("A peer's message was dropped: {}",
                    std::string(content.status().message()));
        return;
    }
    std::visit(taker{*this, number}, *content);
}

void entry_program::implementation::install(
    distribution::install_revision const& wanted)
{
    if (wanted.first.has_value())
    {
        log_first_revision(wanted.number, *wanted.first);
    }
    absl::StatusOr<accepted_revision> parsed =
        this->adapter.read_revision(*wanted.document);
    if (!parsed.ok())
    {
        // A newer version accepted what this one cannot read: the last
        // revision goes on serving.
        log.error("Revision {} is not put in force: {}", wanted.number,
                  std::string(parsed.status().message()));
        return;
    }
    log.info("Revision {} is in force; {} zones are closed.", wanted.number,
             parsed->closed_zones.size());
    this->server->dispatch(
        entry::configuration_received{wanted.number, std::move(parsed->content),
                                      std::move(parsed->closed_zones)});
}

void entry_program::implementation::on_group(link::link_number number,
                                             link::group_news const& said)
{
    this->control_links.group_received(number, said.control_hosts);
    this->link_control_hosts();

    // The largest number that any control host hears: too small a share is
    // safe, too large a one is not.
    this->heard_entry_hosts[number] = {said.entry_hosts,
                                       said.region_entry_hosts};
    entry::entry_hosts_counted most;
    for (auto const& [link, heard] : this->heard_entry_hosts)
    {
        most.hosts = std::max(most.hosts, heard.hosts);
        most.max_per_region =
            std::max(most.max_per_region, heard.max_per_region);
    }
    most.hosts = this->most_entry_hosts.record(most.hosts, clock_now());
    most.max_per_region =
        this->most_in_a_region.record(most.max_per_region, clock_now());
    this->server->dispatch(most);
}

/// Calls the control hosts that are to be linked now, and lets go of others.
void entry_program::implementation::link_control_hosts()
{
    if (!this->book.has_value())
    {
        return;
    }
    instant const now = clock_now();
    bool const searching = this->control_links.is_searching(now);
    if (searching != this->links_seeds)
    {
        this->links_seeds = searching;
        this->update_peer_contact();
        this->book->set_seeds(searching ? this->settings.seeds
                                        : std::vector<config::endpoint>{});
        log.info("{}", searching ? "No leader is known; all control hosts are "
                                   "called."
                                 : "A leader is known again.");
    }
    std::set<host_id> wanted = this->control_links.desired_links(now);
    if (wanted != this->linked_control_hosts)
    {
        this->linked_control_hosts = std::move(wanted);
        this->book->set_named(chosen_hosts, {this->linked_control_hosts.begin(),
                                             this->linked_control_hosts.end()});
    }
}

void entry_program::implementation::on_plan(link::region_plan const& said)
{
    // A leader that was replaced while it was cut off plans by an old
    // picture.
    if (!this->plans.accept_term(said.term))
    {
        return;
    }
    entry::regions_planned plan;
    plan.entry_hosts = said.entry_hosts;
    for (link::region_share const& each : said.shares)
    {
        plan.shares.push_back(
            {each.service, each.region, link::from_thousandths(each.share)});
    }
    this->server->dispatch(std::move(plan));
    if (said.admission.has_value())
    {
        this->on_admission_plan(*said.admission);
    }
}

/// A notice also answers each claim that is sent to a follower; only a change
/// is logged.
void entry_program::implementation::log_leader_notice(link::link_number from,
                                                      host_id const& reported)
{
    auto const found = this->reported_leaders.find(from);
    if (found != this->reported_leaders.end() && found->second == reported)
    {
        return;
    }
    this->reported_leaders[from] = reported;
    log_line("entry", "leader_notice")
        .text("control", this->links.at(from).id.text())
        .text("leader", reported.text())
        .write();
}

void entry_program::implementation::on_leader(host_id const& reported)
{
    if (!reported.empty() && reported != this->leader)
    {
        this->leader = reported;
        this->admission_reports.leader_changed(reported);
        this->server->dispatch(entry::leader_changed{});
    }
}

void entry_program::implementation::on_listing(
    link::link_number number, link::upstream_update const& said)
{
    discovery::apply_result const result =
        this->listing.apply(said.changes, clock_now());
    if (result == discovery::apply_result::base_mismatch)
    {
        this->send(number, link::upstream_request{this->listing.position()});
    }
    if (result != discovery::apply_result::applied)
    {
        return;
    }
    std::shared_ptr<std::vector<discovery::listed_upstream>> const all =
        std::make_shared<std::vector<discovery::listed_upstream>>();
    all->reserve(this->listing.upstreams().size());
    for (auto const& [id, entry] : this->listing.upstreams())
    {
        all->push_back(entry);
    }
    log.info("Listing {}.{} of upstreams is in use: {} new or changed, {} "
             "gone, {} in all.",
             said.changes.target.term, said.changes.target.number,
             said.changes.put.size(), said.changes.removed.size(), all->size());
    this->server->dispatch(
        entry::upstreams_listed{all, this->listing.position()});
    // Confirms the listing without waiting for the next heartbeat.
    this->tell_presence(number);
}

void entry_program::implementation::tell_presence(link::link_number to)
{
    link::entry_presence presence;
    presence.address = this->settings.caller_listen;
    presence.zone = this->settings.zone;
    presence.region = this->settings.region;
    presence.ready = this->server->ready();
    presence.stopping = this->stopping;
    presence.in_force = this->server->revision_in_force();
    presence.listing = this->listing.position();
    for (auto const& [service, slots] : this->server->demands())
    {
        presence.demands.push_back({service, link::to_thousandths(slots)});
    }
    this->add_admission_demand(to, presence);
    this->send(to, presence);
}

/// Hosts that start together have different phases, so that a control host
/// does not hear all of them at once.
void entry_program::implementation::start_heartbeats()
{
    policy::generator phase(this->seed.of(random_sequence::heartbeat));
    this->send_heartbeats_after(scaled(heartbeat_interval, phase.unit()));
}

void entry_program::implementation::send_heartbeats_after(duration pause)
{
    this->heartbeat.expires_after(pause);
    this->heartbeat.async_wait(
        [this](error_code const& error) noexcept
        {
            if (error)
            {
                return;
            }
            for (auto const& [number, peer] : this->links)
            {
                if (peer.role == link::peer_role::control)
                {
                    this->tell_presence(number);
                    if (!this->has_upstream_contact)
                    {
                        this->tell_contact(number);
                    }
                }
            }
            this->ask_for_listing();
            this->link_control_hosts();
            this->send_heartbeats_after(heartbeat_interval);
        });
}

/// A listing that was lost on its way would be missed until the next one: a
/// control host is asked now and then, each in its turn.
void entry_program::implementation::ask_for_listing()
{
    if (this->links.empty() ||
        clock_now() - this->listing_asked_at < listing_refresh)
    {
        return;
    }
    this->listing_asked_at = clock_now();
    auto const next = this->links.upper_bound(this->last_asked);
    auto const chosen = next == this->links.end() ? this->links.begin() : next;
    this->last_asked = chosen->first;
    if (chosen->second.role == link::peer_role::control)
    {
        this->send(chosen->first,
                   link::upstream_request{this->listing.position()});
    }
}

void entry_program::implementation::send(link::link_number to,
                                         link::message const& content)
{
    this->peers->send(to, link::encode(content));
}

/// Callers are sent here, or not any more, without waiting for a heartbeat.
void entry_program::implementation::tell_changed_readiness()
{
    bool const ready = this->server->ready();
    if (ready == this->told_ready)
    {
        return;
    }
    this->told_ready = ready;
    log.info("This host is {}.", ready ? "ready" : "not ready");
    for (auto const& [number, peer] : this->links)
    {
        if (peer.role == link::peer_role::control)
        {
            this->tell_presence(number);
        }
    }
}

} // namespace bilberrylead::daemon
