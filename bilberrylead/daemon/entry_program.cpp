#include "bilberrylead/daemon/entry_program_parts.hpp"

#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/link/run_event_loop.hpp"

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
/// Part of the allowed share of further tries that is used: successes are
/// counted later than requests.
constexpr double used_retry_ratio = 0.75;
/// A try gets all of the time that is left, in thousandths.
constexpr std::uint32_t whole_share = 1000;
/// Upstreams that others manage close idle connections after some ten
/// seconds; a request must not cross that.
constexpr std::chrono::seconds listed_idle_limit{8};

/// A leader that was replaced and the time until its successor hears all
/// entry hosts, several times over.
constexpr std::chrono::seconds count_memory{10};

constexpr double bytes_in_megabit = 125'000;
constexpr unsigned http_ok = 200;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_unavailable = 503;

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

entry_program::implementation::implementation(
    config::entry_settings given, settings_source<config::entry_settings> file,
    entry_bindings outside)
    : settings(std::move(given)), source(std::move(file)), adapter(outside),
      incarnation(incarnation_from_clock()), seed(settings.id, incarnation),
      signals(io), ticker(io), heartbeat(io), watch(io,
                                                    [this]
                                                    {
                                                        this->reload();
                                                    }),
      exchange(exchange_settings()), claims(claim_settings()),
      most_entry_hosts(count_memory), most_in_a_region(count_memory),
      control_links(settings.id, settings.region),
      admission_reports(settings.admission)
{
}

distribution::exchange_settings
entry_program::implementation::exchange_settings() const
{
    distribution::exchange_settings wanted;
    wanted.first_revision_wait = this->settings.first_revision_wait;
    for (config::host_address const& host : this->settings.control_hosts)
    {
        wanted.control_hosts.insert(host.id);
    }
    return wanted;
}

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
    wanted.entry.default_region_latency = this->settings.region_latency;
    wanted.entry.upstreams_are_listed = this->settings.forms_itself();
    wanted.entry.waiting = this->settings.waiting;
    wanted.entry.placement.homes = this->settings.homes;
    wanted.entry.placement.zone_crossing_cost =
        this->settings.zone_crossing_cost;
    wanted.entry.placement.remembered_objects =
        this->settings.remembered_objects;
    wanted.entry.admission = this->settings.admission;
    wanted.entry.retries = this->settings.retries;
    wanted.entry.cold = this->settings.cold;
    wanted.entry.customer_limits.bounds = this->settings.customer_limits;
    wanted.entry.stop_time = this->settings.stop_time;
    wanted.entry.steering_ttl = this->settings.steering_ttl;
    if (this->settings.waiting == config::waiting_place::upstream)
    {
        wanted.entry.retry.earned_per_success =
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
    wanted.pipelining = this->settings.pipelining;
    wanted.largest_connections = limits.connections;
    wanted.link_rate = this->settings.link_rate * bytes_in_megabit;
    return wanted;
}

link::peer_node_settings entry_program::implementation::peer_settings() const
{
    link::peer_node_settings wanted;
    wanted.self = {this->settings.id, link::peer_role::entry,
                   this->incarnation};
    wanted.key = this->settings.peer_key;
    if (this->settings.forms_itself())
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
    this->server.emplace(this->io, this->server_settings(), this->seed,
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

void entry_program::implementation::on_effect_of_server(
    entry::effect const& wanted)
{
    using once_client::local_request_id;
    if (entry::request_claim const* const claim =
            std::get_if<entry::request_claim>(&wanted))
    {
        this->on_claims(once_client::claim_requested{
            static_cast<local_request_id>(claim->request), claim->key,
            claim->body_digest});
    }
    else if (entry::report_completion const* const completion =
                 std::get_if<entry::report_completion>(&wanted))
    {
        this->on_claims(once_client::completion_reported{
            static_cast<local_request_id>(completion->request), completion->key,
            completion->answer});
    }
    else if (entry::report_release const* const release =
                 std::get_if<entry::report_release>(&wanted))
    {
        this->on_claims(once_client::release_requested{
            static_cast<local_request_id>(release->request), release->key});
    }
    else if (entry::report_unknown const* const unknown =
                 std::get_if<entry::report_unknown>(&wanted))
    {
        this->on_claims(once_client::unknown_outcome_reported{
            static_cast<local_request_id>(unknown->request), unknown->key});
    }
    else if (entry::send_crash_records const* const crashes =
                 std::get_if<entry::send_crash_records>(&wanted))
    {
        this->tell_crashes(*crashes);
    }
    else if (entry::send_limits const* const limits =
                 std::get_if<entry::send_limits>(&wanted))
    {
        this->tell_limits(*limits);
    }
    else if (entry::send_customer_report const* const report =
                 std::get_if<entry::send_customer_report>(&wanted))
    {
        this->send_customer_report(*report);
    }
    else if (entry::upstream_contact_changed const* const changed =
                 std::get_if<entry::upstream_contact_changed>(&wanted))
    {
        this->on_contact_changed(*changed);
    }
    else if (std::holds_alternative<entry::drained>(wanted))
    {
        log.info("Everything under way has ended.");
        this->io.stop();
    }
}

void entry_program::implementation::on_exchange(
    distribution::exchange_event const& what) noexcept
{
    for (distribution::exchange_effect const& effect :
         this->exchange.reduce(what, clock_now()))
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
    once_client::once_client_event const& what) noexcept
{
    for (once_client::once_client_effect const& effect :
         this->claims.reduce(what, clock_now()))
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

void entry_program::implementation::reload()
{
    std::optional<config::entry_settings> const changed =
        this->source.changed();
    // Seeds that were known go on being called while there are none to name.
    if (changed.has_value() && !changed->seeds.empty() &&
        this->book.has_value())
    {
        this->settings.seeds = changed->seeds;
        if (this->links_seeds)
        {
            this->book->set_seeds(changed->seeds);
        }
        log.info("The settings were read again; {} seeds.",
                 changed->seeds.size());
    }
}

void entry_program::implementation::start_ticking()
{
    bool const listed = this->settings.forms_itself();
    this->ticker.expires_after(listed ? listed_tick_interval : tick_interval);
    this->ticker.async_wait(
        [this](error_code const& error) noexcept
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

void entry_program::implementation::wait_for_stop()
{
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.async_wait(
        [this](error_code const& error, int) noexcept
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
    this->impl->start_heartbeats();
    this->impl->watch.start();
    this->impl->wait_for_stop();
    link::run_event_loop(this->impl->io);
    return absl::OkStatus();
}

} // namespace bilberrylead::daemon
