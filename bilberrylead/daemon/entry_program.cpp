#include "bilberrylead/daemon/entry_program.hpp"

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/daemon/entry_metrics.hpp"
#include "bilberrylead/daemon/peer_book.hpp"
#include "bilberrylead/discovery/upstream_listing.hpp"
#include "bilberrylead/distribution/revision_exchange.hpp"
#include "bilberrylead/http/caller_server.hpp"
#include "bilberrylead/http/server_settings.hpp"
#include "bilberrylead/link/http_endpoint.hpp"
#include "bilberrylead/link/message.hpp"
#include "bilberrylead/link/peer_node.hpp"
#include "bilberrylead/link/peer_node_settings.hpp"
#include "bilberrylead/once_client/once_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::daemon
{

namespace
{

namespace asio = boost::asio;
using error_code = boost::system::error_code;

constexpr part_log log{"entry"};

/// Grain of the timers of exchange and claims; a hundredth of the claim
/// time-out.
constexpr std::chrono::milliseconds tick_interval{10};
/// The same on hosts that have a tenth of a core, where each wake-up counts
/// and claims are rare.
constexpr std::chrono::milliseconds listed_tick_interval{50};
/// Grain of requests' deadlines there: a twentieth of the shortest ones.
constexpr std::chrono::milliseconds coarse_tick{20};
/// Pause between two heartbeats to a control host; three may be missed
/// before callers are sent elsewhere.
constexpr std::chrono::milliseconds heartbeat_interval{500};
/// How often a control host is asked for a newer listing of upstreams.
constexpr std::chrono::seconds listing_refresh{1};
/// How often the settings file is looked at: it may change without a
/// signal, and stale seeds do no harm for a few seconds.
constexpr std::chrono::seconds settings_interval{2};
/// Part of the allowed share of further tries that is used: successes are
/// counted later than requests.
constexpr double used_retry_ratio = 0.75;
/// A try gets all of the time that is left, in thousandths.
constexpr std::uint32_t whole_share = 1000;
/// Upstreams that others manage close idle connections after some ten
/// seconds; a request must not cross that.
constexpr std::chrono::seconds listed_idle_limit{8};

/// Slots and shares go over links as whole thousandths.
constexpr double slots_in_thousandths = 1000;

constexpr unsigned http_ok = 200;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_unavailable = 503;

instant now()
{
    return std::chrono::steady_clock::now();
}

/// Number of this life of the process. If the wall clock went back, the
/// control hosts say so and a larger one is taken.
std::uint64_t incarnation_from_clock()
{
    std::chrono::milliseconds const since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    return static_cast<std::uint64_t>(since_epoch.count());
}

} // namespace

/// What the process holds while it runs.
struct entry_program::implementation
{
    implementation(config::entry_settings given,
                   settings_source<config::entry_settings> file,
                   entry_bindings outside)
        : settings(std::move(given)), source(std::move(file)), adapter(outside),
          incarnation(incarnation_from_clock()), signals(io), reloads(io),
          ticker(io), heartbeat(io), watcher(io), exchange({}),
          claims(claim_settings())
    {
    }

    once_client::once_client_settings claim_settings() const;
    http::server_settings server_settings() const;
    link::peer_node_settings peer_settings() const;
    link::peer_callbacks peer_callbacks();
    absl::Status listen();
    absl::Status listen_for_checks();
    void dial_peers();
    void on_group(link::link_number number, link::group_news const& said);
    void on_listing(link::link_number number,
                    link::upstream_update const& said);
    void on_plan(link::region_plan const& said);
    void send_heartbeats();
    void tell_presence(link::link_number to);
    void ask_for_listing();
    void watch_settings();
    void reload();
    void wait_for_reload();
    void on_connected(link::link_number number,
                      link::peer_identity const& peer);
    void on_message(link::link_number number, bytes const& said);
    void on_disconnected(link::link_number number);
    void on_effect_of_server(entry::effect const& wanted);
    void on_exchange(distribution::exchange_event const& what);
    void on_claims(once_client::once_client_event const& what);
    void install(distribution::install_revision const& wanted);
    void send(link::link_number to, link::message const& content);
    void start_ticking();
    void tell_changed_readiness();
    void wait_for_stop();

    config::entry_settings settings;
    settings_source<config::entry_settings> source;
    entry_bindings adapter;
    std::uint64_t incarnation;
    asio::io_context io{1};
    asio::signal_set signals;
    asio::signal_set reloads;
    asio::steady_timer ticker;
    asio::steady_timer heartbeat;
    asio::steady_timer watcher;
    distribution::revision_exchange exchange;
    once_client::once_client claims;
    std::optional<http::caller_server> server;
    std::optional<link::peer_node> peers;
    std::optional<peer_book> book;
    std::optional<link::http_endpoint> metrics_port;
    std::optional<link::http_endpoint> readiness_port;
    discovery::upstream_listing listing;
    std::map<link::link_number, std::uint64_t> heard_entry_hosts;
    instant listing_asked_at{};
    link::link_number last_asked = 0;
    std::uint64_t plan_term = 0;
    bool told_ready = false;
    bool stopping = false;
    entry_metrics metrics;
    std::map<link::link_number, link::peer_identity> links;
};

once_client::once_client_settings
entry_program::implementation::claim_settings() const
{
    once_client::once_client_settings wanted;
    wanted.self = this->settings.id;
    wanted.incarnation = this->incarnation;
    return wanted;
}

http::server_settings entry_program::implementation::server_settings() const
{
    config::entry_limits const& limits = this->settings.limits;
    http::server_settings wanted;
    wanted.listen = this->settings.caller_listen;
    wanted.names = this->adapter.names();
    wanted.own_pages = this->settings.readiness_listen.port == 0;
    wanted.entry.region = this->settings.region;
    wanted.entry.places = this->settings.places;
    wanted.entry.region_latency = this->settings.region_latency;
    wanted.entry.upstreams_are_listed = !this->settings.seeds.empty();
    wanted.entry.waiting = this->settings.waiting;
    wanted.entry.retries = this->settings.retries;
    wanted.entry.cold = this->settings.cold;
    wanted.entry.stop_time = this->settings.stop_time;
    wanted.entry.steering_ttl = this->settings.steering_ttl;
    if (this->settings.waiting == config::waiting_place::upstream)
    {
        wanted.entry.retry.earned_by_success =
            this->settings.retries.ratio * used_retry_ratio;
        wanted.entry.attempt_share = whole_share;
        wanted.entry.tick = coarse_tick;
        wanted.pool.idle_limit = listed_idle_limit;
    }
    wanted.request_id_prefix =
        fmt::format("{}.{}.", this->settings.id.text(), this->incarnation);
    wanted.entry.self = this->settings.id;
    wanted.entry.zone = this->settings.zone;
    wanted.idle_timeout = limits.idle_timeout;
    wanted.head_timeout = limits.header_timeout;
    wanted.body_timeout = limits.progress_timeout;
    wanted.write_timeout = limits.progress_timeout;
    wanted.largest_head = limits.header_bytes;
    wanted.piece = limits.buffer_bytes;
    wanted.largest_connections = limits.connections;
    return wanted;
}

link::peer_node_settings entry_program::implementation::peer_settings() const
{
    link::peer_node_settings wanted;
    wanted.self = {this->settings.id, link::peer_role::entry,
                   this->incarnation};
    wanted.key = this->settings.peer_key;
    if (!this->settings.seeds.empty())
    {
        wanted.pace_for_small_group();
    }
    return wanted;
}

link::peer_callbacks entry_program::implementation::peer_callbacks()
{
    link::peer_callbacks callbacks;
    callbacks.connected =
        [this](link::link_number number, link::peer_identity const& peer)
    {
        this->on_connected(number, peer);
    };
    callbacks.received = [this](link::link_number number, bytes const& said)
    {
        this->on_message(number, said);
    };
    callbacks.disconnected = [this](link::link_number number)
    {
        this->on_disconnected(number);
    };
    return callbacks;
}

absl::Status entry_program::implementation::listen()
{
    this->server.emplace(this->io, this->server_settings(),
                         [this](entry::effect const& wanted)
                         {
                             this->on_effect_of_server(wanted);
                         });
    absl::Status listening = this->server->listen();
    if (!listening.ok())
    {
        return listening;
    }

    this->peers.emplace(this->io, this->peer_settings(),
                        this->peer_callbacks());
    listening = this->peers->listen(this->settings.peer_listen);
    if (!listening.ok())
    {
        return listening;
    }
    this->dial_peers();
    return this->listen_for_checks();
}

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
    if (!this->settings.seeds.empty())
    {
        this->book.emplace(*this->peers, this->settings.peer_listen);
        this->book->set_seeds(this->settings.seeds);
    }
}

absl::Status entry_program::implementation::listen_for_checks()
{
    if (this->settings.readiness_listen.port != 0)
    {
        this->readiness_port.emplace(
            this->io,
            [this](link::http_request const& request,
                   link::http_endpoint::answer_function const& answer)
            {
                bool const known = this->adapter.asks_whether_ready(request);
                answer({!known                  ? http_not_found
                        : this->server->ready() ? http_ok
                                                : http_unavailable,
                        "text/plain", ""});
            });
        absl::Status const listening =
            this->readiness_port->listen(this->settings.readiness_listen);
        if (!listening.ok())
        {
            return listening;
        }
    }
    this->metrics_port.emplace(
        this->io,
        [this](link::http_request const&,
               link::http_endpoint::answer_function const& answer)
        {
            answer(
                {200, "text/plain; version=0.0.4",
                 this->metrics.text(*this->server, this->claims.reachable())});
        });
    return this->metrics_port->listen(this->settings.metrics_listen);
}

void entry_program::implementation::on_connected(
    link::link_number number, link::peer_identity const& peer)
{
    this->links[number] = peer;
    this->on_exchange(distribution::link_opened{number, peer});
    if (peer.role == link::peer_role::control)
    {
        this->on_claims(once_client::control_link_opened{number, peer.id});
        this->tell_presence(number);
        this->send(number, link::upstream_request{this->listing.position()});
    }
}

void entry_program::implementation::on_disconnected(link::link_number number)
{
    this->on_exchange(distribution::link_closed{number});
    this->heard_entry_hosts.erase(number);
    if (this->book.has_value())
    {
        this->book->forget_source(number);
    }
    if (this->links.at(number).role == link::peer_role::control)
    {
        this->on_claims(once_client::control_link_closed{number});
    }
    this->links.erase(number);
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
            this->owner.on_claims(
                once_client::leader_named{this->number, held});
        }

        void operator()(link::registration_reply const& held) const
        {
            this->owner.on_claims(once_client::registration_answered{held});
        }

        void operator()(link::claim_reply const& held) const
        {
            this->owner.on_claims(once_client::verdict_received{held});
        }

        void operator()(link::settle_reply const& held) const
        {
            this->owner.on_claims(once_client::settlement_received{held});
        }

        void operator()(link::group_news const& held) const
        {
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

void entry_program::implementation::on_effect_of_server(
    entry::effect const& wanted)
{
    using once_client::local_request;
    if (entry::request_claim const* const claim =
            std::get_if<entry::request_claim>(&wanted))
    {
        this->on_claims(once_client::claim_wanted{
            static_cast<local_request>(claim->request), claim->key,
            claim->body_digest});
    }
    else if (entry::report_completion const* const completion =
                 std::get_if<entry::report_completion>(&wanted))
    {
        this->on_claims(once_client::completion_wanted{
            static_cast<local_request>(completion->request), completion->key,
            completion->answer});
    }
    else if (entry::report_release const* const release =
                 std::get_if<entry::report_release>(&wanted))
    {
        this->on_claims(once_client::release_wanted{
            static_cast<local_request>(release->request), release->key});
    }
    else if (entry::report_unknown const* const unknown =
                 std::get_if<entry::report_unknown>(&wanted))
    {
        this->on_claims(once_client::unknown_wanted{
            static_cast<local_request>(unknown->request), unknown->key});
    }
    else if (std::holds_alternative<entry::drained>(wanted))
    {
        log.info("Everything under way has ended.");
        this->io.stop();
    }
}

void entry_program::implementation::on_exchange(
    distribution::exchange_event const& what)
{
    for (distribution::exchange_effect const& effect :
         this->exchange.reduce(what, now()))
    {
        if (distribution::send_message const* const sent =
                std::get_if<distribution::send_message>(&effect))
        {
            this->send(sent->link, sent->content);
        }
        else
        {
            this->install(std::get<distribution::install_revision>(effect));
        }
    }
}

void entry_program::implementation::on_claims(
    once_client::once_client_event const& what)
{
    for (once_client::once_client_effect const& effect :
         this->claims.reduce(what, now()))
    {
        if (once_client::send_to_control const* sent =
                std::get_if<once_client::send_to_control>(&effect))
        {
            this->send(sent->link, sent->content);
        }
        else if (once_client::claim_decided const* decided =
                     std::get_if<once_client::claim_decided>(&effect))
        {
            this->server->dispatch(entry::claim_answered{
                static_cast<entry::request_number>(decided->request),
                decided->verdict});
        }
        else if (once_client::completion_recorded const* recorded =
                     std::get_if<once_client::completion_recorded>(&effect))
        {
            this->server->dispatch(entry::completion_stored{
                static_cast<entry::request_number>(recorded->request)});
        }
        else if (std::get<once_client::reachability_changed>(effect).reachable)
        {
            this->server->dispatch(entry::control_reachable{});
        }
        else
        {
            log.warning("No control host leads; guarded work is refused.");
            this->server->dispatch(entry::control_unreachable{});
        }
    }
}

void entry_program::implementation::install(
    distribution::install_revision const& wanted)
{
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
    if (this->book.has_value())
    {
        this->book->set_named(number, said.control_hosts);
    }

    // The largest number that any control host hears: too small a share is
    // safe, too large a one is not.
    this->heard_entry_hosts[number] = said.entry_hosts;
    std::uint64_t most = 1;
    for (auto const& [link, hosts] : this->heard_entry_hosts)
    {
        most = std::max(most, hosts);
    }
    this->server->dispatch(entry::entry_hosts_counted{most});
}

void entry_program::implementation::on_plan(link::region_plan const& said)
{
    // A leader that was replaced while it was cut off plans by an old
    // picture.
    if (said.term < this->plan_term)
    {
        return;
    }
    this->plan_term = said.term;
    entry::regions_planned plan;
    for (link::region_share const& each : said.shares)
    {
        plan.shares.push_back(
            {each.service, each.region, each.share / slots_in_thousandths});
    }
    this->server->dispatch(std::move(plan));
}

void entry_program::implementation::on_listing(
    link::link_number number, link::upstream_update const& said)
{
    discovery::take_result const result =
        this->listing.take(said.changes, now());
    if (result == discovery::take_result::other_base)
    {
        this->send(number, link::upstream_request{this->listing.position()});
    }
    if (result != discovery::take_result::taken)
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
    this->server->dispatch(entry::upstreams_listed{all});
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
        presence.demands.push_back(
            {service, static_cast<std::uint32_t>(
                          std::lround(slots * slots_in_thousandths))});
    }
    this->send(to, presence);
}

void entry_program::implementation::send_heartbeats()
{
    this->heartbeat.expires_after(heartbeat_interval);
    this->heartbeat.async_wait(
        [this](error_code const& error)
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
                }
            }
            this->ask_for_listing();
            this->send_heartbeats();
        });
}

/// A listing that was lost on its way would be missed until the next one: a
/// control host is asked now and then, each in its turn.
void entry_program::implementation::ask_for_listing()
{
    if (this->links.empty() || now() - this->listing_asked_at < listing_refresh)
    {
        return;
    }
    this->listing_asked_at = now();
    auto const next = this->links.upper_bound(this->last_asked);
    auto const chosen = next == this->links.end() ? this->links.begin() : next;
    this->last_asked = chosen->first;
    if (chosen->second.role == link::peer_role::control)
    {
        this->send(chosen->first,
                   link::upstream_request{this->listing.position()});
    }
}

void entry_program::implementation::watch_settings()
{
    this->watcher.expires_after(settings_interval);
    this->watcher.async_wait(
        [this](error_code const& error)
        {
            if (!error)
            {
                this->reload();
                this->watch_settings();
            }
        });
}

void entry_program::implementation::reload()
{
    std::optional<config::entry_settings> const changed =
        this->source.changed();
    if (changed.has_value() && this->book.has_value())
    {
        this->book->set_seeds(changed->seeds);
        log.info("The settings were read again; {} seeds.",
                 changed->seeds.size());
    }
}

void entry_program::implementation::wait_for_reload()
{
    this->reloads.async_wait(
        [this](error_code const& error, int)
        {
            if (!error)
            {
                this->reload();
                this->wait_for_reload();
            }
        });
}

void entry_program::implementation::send(link::link_number to,
                                         link::message const& content)
{
    this->peers->send(to, link::encode(content));
}

void entry_program::implementation::start_ticking()
{
    bool const listed = !this->settings.seeds.empty();
    this->ticker.expires_after(listed ? listed_tick_interval : tick_interval);
    this->ticker.async_wait(
        [this](error_code const& error)
        {
            if (error)
            {
                return;
            }
            this->on_exchange(distribution::exchange_tick{});
            this->on_claims(once_client::client_tick{});
            this->tell_changed_readiness();
            this->start_ticking();
        });
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

void entry_program::implementation::wait_for_stop()
{
    this->reloads.add(SIGHUP);
    this->wait_for_reload();
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.async_wait(
        [this](error_code const& error, int)
        {
            if (!error)
            {
                log.info("A stop was asked for; what is under way goes on.");
                this->stopping = true;
                this->server->dispatch(entry::drain_requested{});
                this->tell_changed_readiness();
            }
        });
}

entry_program::entry_program(config::entry_settings settings,
                             settings_source<config::entry_settings> source,
                             entry_bindings bindings)
    : impl(std::make_unique<implementation>(std::move(settings),
                                            std::move(source), bindings))
{
}

entry_program::~entry_program() = default;

absl::Status entry_program::run()
{
    absl::Status listening = this->impl->listen();
    if (!listening.ok())
    {
        return listening;
    }
    log.info("Entry host {} runs, incarnation {}.",
             this->impl->settings.id.text(), this->impl->incarnation);
    this->impl->start_ticking();
    this->impl->send_heartbeats();
    this->impl->watch_settings();
    this->impl->wait_for_stop();
    this->impl->io.run();
    return absl::OkStatus();
}

} // namespace bilberrylead::daemon
