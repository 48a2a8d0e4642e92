#include "bilberrylead/daemon/entry_program.hpp"

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/parse_configuration.hpp"
#include "bilberrylead/core/log.hpp"
#include "bilberrylead/daemon/entry_metrics.hpp"
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

#include <csignal>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

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
    explicit implementation(config::entry_settings given)
        : settings(std::move(given)), incarnation(incarnation_from_clock()),
          signals(io), ticker(io), exchange({}), claims(claim_settings())
    {
    }

    once_client::once_client_settings claim_settings() const;
    http::server_settings server_settings() const;
    link::peer_node_settings peer_settings() const;
    link::peer_callbacks peer_callbacks();
    absl::Status listen();
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
    void wait_for_stop();

    config::entry_settings settings;
    std::uint64_t incarnation;
    asio::io_context io{1};
    asio::signal_set signals;
    asio::steady_timer ticker;
    distribution::revision_exchange exchange;
    once_client::once_client claims;
    std::optional<http::caller_server> server;
    std::optional<link::peer_node> peers;
    std::optional<link::http_endpoint> metrics_port;
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
    for (config::host_address const& host : this->settings.control_hosts)
    {
        this->peers->dial(host.address);
    }
    for (config::host_address const& host : this->settings.neighbours)
    {
        this->peers->dial(host.address);
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
    }
}

void entry_program::implementation::on_disconnected(link::link_number number)
{
    this->on_exchange(distribution::link_closed{number});
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
    std::string_view const text(
        reinterpret_cast<char const*>(wanted.document->data()),
        wanted.document->size());
    absl::StatusOr<config::configuration> parsed = config::parse_configuration(
        text, fmt::format("revision {}", wanted.number));
    if (!parsed.ok())
    {
        // A newer version accepted what this one cannot read: the last
        // revision goes on serving.
        log.error("Revision {} is not put in force: {}", wanted.number,
                  std::string(parsed.status().message()));
        return;
    }
    this->server->dispatch(entry::configuration_received{
        wanted.number,
        std::make_shared<config::configuration const>(std::move(*parsed))});
    log.info("Revision {} is in force.", wanted.number);
}

void entry_program::implementation::send(link::link_number to,
                                         link::message const& content)
{
    this->peers->send(to, link::encode(content));
}

void entry_program::implementation::start_ticking()
{
    this->ticker.expires_after(tick_interval);
    this->ticker.async_wait(
        [this](error_code const& error)
        {
            if (error)
            {
                return;
            }
            this->on_exchange(distribution::exchange_tick{});
            this->on_claims(once_client::client_tick{});
            this->start_ticking();
        });
}

void entry_program::implementation::wait_for_stop()
{
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.async_wait(
        [this](error_code const& error, int)
        {
            if (!error)
            {
                log.info("A stop was asked for; what is under way goes on.");
                this->server->dispatch(entry::drain_requested{});
            }
        });
}

entry_program::entry_program(config::entry_settings settings)
    : impl(std::make_unique<implementation>(std::move(settings)))
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
    this->impl->wait_for_stop();
    this->impl->io.run();
    return absl::OkStatus();
}

} // namespace bilberrylead::daemon
