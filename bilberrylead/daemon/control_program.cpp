#include "bilberrylead/daemon/control_program.hpp"

#include "bilberrylead/control/control_reducer.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/core/log.hpp"
#include "bilberrylead/daemon/control_metrics.hpp"
#include "bilberrylead/daemon/control_store.hpp"
#include "bilberrylead/daemon/operator_api.hpp"
#include "bilberrylead/daemon/peer_book.hpp"
#include "bilberrylead/link/http_caller.hpp"
#include "bilberrylead/link/http_endpoint.hpp"
#include "bilberrylead/link/peer_node.hpp"
#include "bilberrylead/link/peer_node_settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
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

constexpr part_log log{"control"};

/// A leader that is told to stop waits this long for its successor; two
/// elections' time, after which the others elect one by themselves.
constexpr std::chrono::milliseconds handover_patience{1500};

/// How often a failed data folder is tried again: a disk that was full has
/// room again without a word.
constexpr std::chrono::milliseconds disk_pause{500};

/// How often the settings file is looked at: it may change without a
/// signal, and stale seeds do no harm for a few seconds.
constexpr std::chrono::seconds settings_interval{2};

/// The name in the audit trail where the network says who may call.
constexpr std::string_view network_operator = "network";

/// The source in the peer book that stands for the own log.
constexpr std::uint64_t own_log = 0;

/// Callers that look up entry hosts at a time, and how long each may take;
/// a descriptor each.
constexpr std::size_t most_steering_connections = 1500;
constexpr std::chrono::seconds steering_idle_limit{15};

constexpr unsigned http_ok = 200;

instant now()
{
    return std::chrono::steady_clock::now();
}

wall_time wall_now()
{
    return std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

std::uint64_t seed_of(host_id const& host)
{
    return std::hash<host_id>{}(host);
}

} // namespace

/// An operator's call until it is answered.
struct open_operator_call
{
    link::http_request request;
    link::http_endpoint::answer_function answer;
};

/// What the process holds while it runs.
struct control_program::implementation
{
    implementation(config::control_settings given,
                   settings_source<config::control_settings> file,
                   control_bindings outside)
        : settings(std::move(given)), source(std::move(file)), adapter(outside),
          signals(io), reloads(io), ticker(io), stopper(io), disk_timer(io),
          watcher(io)
    {
    }

    absl::Status open();
    void make_reducer();
    absl::Status listen();
    absl::Status listen_outside();
    bool forms_itself() const;
    bool founds_group() const;
    void take(control::control_event event);
    void flush();
    void wait_for_disk();
    bool reopen();
    void refuse_open_calls();
    template <class Effect>
    void write_effect(Effect const& wanted);
    void carry_out(control::control_effect const& effect);
    void write(absl::Status const& written);
    void answer(control::answer_operator const& effect);
    void serve_operator(link::http_request const& request,
                        link::http_endpoint::answer_function answer);
    void serve_caller(link::http_request const& request,
                      link::http_endpoint::answer_function const& answer);
    std::optional<config::endpoint> leader_port(host_id const& leader) const;
    void call_list(discovery::page_call const& call);
    absl::StatusOr<discovery::list_page>
    page_of(absl::StatusOr<link::http_result> const& result) const;
    void found(link::http_endpoint::answer_function const& answer);
    agreement::started founding();
    void start_ticking();
    void watch_settings();
    void reload();
    void wait_for_reload();
    void wait_for_stop();
    void stop_when_handed_over(instant deadline);
    link::peer_node_settings peer_settings() const;
    link::peer_callbacks peer_callbacks();

    config::control_settings settings;
    settings_source<config::control_settings> source;
    control_bindings adapter;
    asio::io_context io{1};
    asio::signal_set signals;
    asio::signal_set reloads;
    asio::steady_timer ticker;
    asio::steady_timer stopper;
    asio::steady_timer disk_timer;
    asio::steady_timer watcher;
    std::optional<control_store> store;
    std::optional<control::control_reducer> reducer;
    std::optional<link::peer_node> peers;
    std::optional<peer_book> book;
    std::optional<link::http_endpoint> operators;
    std::optional<link::http_endpoint> steering;
    std::optional<link::http_caller> list;
    std::optional<link::http_endpoint> metrics_port;
    control_metrics metrics;
    std::vector<control::control_event> pending;
    bool flush_is_due = false;
    bool disk_failed = false;
    std::uint64_t last_request = 0;
    std::map<std::uint64_t, open_operator_call> waiting;
    std::map<link::link_number, link::peer_identity> links;
    absl::Status ended_by;
};

absl::Status control_program::implementation::open()
{
    absl::StatusOr<control_store> opened =
        control_store::open(this->settings.data_folder);
    if (!opened.ok())
    {
        return opened.status();
    }
    this->store.emplace(std::move(*opened));
    this->make_reducer();
    if (this->founds_group())
    {
        this->write(this->store->become_founder());
        if (this->disk_failed)
        {
            return this->ended_by;
        }
        this->make_reducer();
        this->take(control::control_started{this->founding()});
        log.info("A new group of {} control hosts is founded.",
                 this->settings.seeds.size());
    }
    else
    {
        this->take(
            control::control_started{std::move(this->store->recovered())});
    }
    return this->listen();
}

bool control_program::implementation::forms_itself() const
{
    return !this->settings.seeds.empty();
}

/// The seeds are the same on all hosts at the very first start, and only
/// then does anybody found a group: a host that came back blank later would
/// vote a second time as its former self.
bool control_program::implementation::founds_group() const
{
    agreement::started const& held = this->store->recovered();
    bool const blank = !held.snapshot.has_value() && held.entries.empty() &&
                       held.hard_state.term == 0;
    bool const is_seed = std::any_of(
        this->settings.seeds.begin(), this->settings.seeds.end(),
        [this](config::endpoint const& seed)
        {
            return seed.address == this->settings.peer_listen.address;
        });
    return this->settings.first_start && blank && is_seed;
}

agreement::started control_program::implementation::founding()
{
    agreement::started first;
    first.founding.emplace();
    for (config::endpoint const& seed : this->settings.seeds)
    {
        first.founding->put(
            {host_id(seed.address), this->store->incarnation(), true, false});
    }
    return first;
}

void control_program::implementation::make_reducer()
{
    control::control_reducer_settings wanted;
    wanted.self = this->settings.id;
    wanted.incarnation = this->store->incarnation();
    wanted.seed = seed_of(this->settings.id) ^ wanted.incarnation;
    wanted.zone = this->settings.zone;
    wanted.region = this->settings.region;
    wanted.entries.longest_ttl = this->settings.steering_ttl;
    wanted.places = this->settings.places;
    if (this->forms_itself())
    {
        wanted.planner.emplace();
        wanted.planner->losses = this->settings.losses;
    }
    if (this->settings.upstream_list.port != 0)
    {
        wanted.list.emplace();
        wanted.list->calls_per_second = this->settings.upstream_list_calls;
    }
    this->reducer.emplace(wanted);
}

absl::Status control_program::implementation::listen()
{
    this->peers.emplace(this->io, this->peer_settings(),
                        this->peer_callbacks());
    absl::Status listening = this->peers->listen(this->settings.peer_listen);
    if (!listening.ok())
    {
        return listening;
    }
    for (config::host_address const& other : this->settings.control_hosts)
    {
        if (other.id != this->settings.id)
        {
            this->peers->dial(other.address);
        }
    }
    if (this->forms_itself())
    {
        this->book.emplace(*this->peers, this->settings.peer_listen);
        this->book->set_seeds(this->settings.seeds);
    }
    return this->listen_outside();
}

absl::Status control_program::implementation::listen_outside()
{
    this->operators.emplace(this->io,
                            [this](link::http_request const& request,
                                   link::http_endpoint::answer_function answer)
                            {
                                this->serve_operator(request,
                                                     std::move(answer));
                            });
    absl::Status listening =
        this->operators->listen(this->settings.operator_listen);
    if (!listening.ok())
    {
        return listening;
    }
    if (this->settings.steering_listen.port != 0)
    {
        link::http_endpoint_settings bounds;
        bounds.most_connections = most_steering_connections;
        bounds.exchange_timeout = steering_idle_limit;
        this->steering.emplace(
            this->io,
            [this](link::http_request const& request,
                   link::http_endpoint::answer_function const& answer)
            {
                this->serve_caller(request, answer);
            },
            bounds);
        listening = this->steering->listen(this->settings.steering_listen);
        if (!listening.ok())
        {
            return listening;
        }
    }
    if (this->settings.upstream_list.port != 0)
    {
        this->list.emplace(this->io, this->settings.upstream_list,
                           discovery::list_reader_settings{}.call_timeout);
    }

    this->metrics_port.emplace(
        this->io,
        [this](link::http_request const&,
               link::http_endpoint::answer_function const& answer)
        {
            answer({200, "text/plain; version=0.0.4",
                    this->metrics.text(*this->reducer, *this->store)});
        });
    return this->metrics_port->listen(this->settings.metrics_listen);
}

link::peer_node_settings control_program::implementation::peer_settings() const
{
    link::peer_node_settings wanted;
    wanted.self = {this->settings.id, link::peer_role::control,
                   this->store->incarnation()};
    wanted.key = this->settings.peer_key;
    if (this->forms_itself())
    {
        wanted.pace_for_small_group();
    }
    return wanted;
}

link::peer_callbacks control_program::implementation::peer_callbacks()
{
    link::peer_callbacks callbacks;
    callbacks.connected =
        [this](link::link_number number, link::peer_identity const& peer)
    {
        this->links[number] = peer;
        this->take(control::peer_connected{number, peer});
    };
    callbacks.received = [this](link::link_number number, bytes const& said)
    {
        absl::StatusOr<link::message> content = link::decode(said);
        if (!content.ok())
        {
            log.warning("A peer's message was dropped: {}",
                        std::string(content.status().message()));
            return;
        }
        this->take(control::peer_message{number, std::move(*content)});
    };
    callbacks.disconnected = [this](link::link_number number)
    {
        this->links.erase(number);
        if (this->book.has_value())
        {
            this->book->forget_source(number);
        }
        this->take(control::peer_disconnected{number});
    };
    return callbacks;
}

void control_program::implementation::take(control::control_event event)
{
    this->pending.push_back(std::move(event));
    if (this->flush_is_due)
    {
        return;
    }

    // Posted behind what is ready to be read already, so that everything
    // which came in meanwhile shares one sync.
    this->flush_is_due = true;
    asio::post(this->io,
               [this]()
               {
                   this->flush();
               });
}

void control_program::implementation::flush()
{
    this->flush_is_due = false;
    std::vector<control::control_event> const events =
        std::exchange(this->pending, {});
    std::vector<control::control_effect> const effects =
        this->reducer->reduce(events, now());
    bool const failed_before = this->disk_failed;
    for (control::control_effect const& effect : effects)
    {
        if (this->disk_failed && !failed_before)
        {
            // What follows a failed write must not be said to anybody.
            break;
        }
        this->carry_out(effect);
    }
}

/// The log may keep no promise until its disk takes writes again: the other
/// control hosts elect a leader. Callers still get steering answers here,
/// and a disk that was only full is used again without an operator.
void control_program::implementation::wait_for_disk()
{
    this->disk_timer.expires_after(disk_pause);
    this->disk_timer.async_wait(
        [this](error_code const& error)
        {
            if (!error && !this->reopen())
            {
                this->wait_for_disk();
            }
        });
}

bool control_program::implementation::reopen()
{
    absl::StatusOr<control_store> opened =
        control_store::open(this->settings.data_folder);
    absl::Status usable = opened.status();
    if (usable.ok())
    {
        // A disk that is still full can be read; only a write tells.
        usable = opened->carry_out(
            agreement::persist_hard_state{opened->recovered().hard_state});
    }
    if (usable.ok())
    {
        usable = opened->carry_out(agreement::sync{});
    }
    if (!usable.ok())
    {
        return false;
    }
    log.info("The data folder takes writes again.");
    this->store.emplace(std::move(*opened));
    this->disk_failed = false;
    this->ended_by = absl::OkStatus();
    this->pending.clear();
    this->make_reducer();
    this->take(control::control_started{std::move(this->store->recovered())});
    for (std::pair<link::link_number const, link::peer_identity> const& row :
         this->links)
    {
        this->take(control::peer_connected{row.first, row.second});
    }
    return true;
}

void control_program::implementation::refuse_open_calls()
{
    std::map<std::uint64_t, open_operator_call> const calls =
        std::exchange(this->waiting, {});
    for (auto const& [number, call] : calls)
    {
        call.answer(this->adapter.write_operator_reply(
            call.request, this->ended_by, std::nullopt));
    }
}

void control_program::implementation::carry_out(
    control::control_effect const& effect)
{
    struct carrier
    {
        void operator()(agreement::persist_hard_state const& wanted) const
        {
            this->owner.write_effect(wanted);
        }

        void operator()(agreement::append_entries const& wanted) const
        {
            this->owner.write_effect(wanted);
        }

        void operator()(agreement::persist_snapshot const& wanted) const
        {
            this->owner.write_effect(wanted);
        }

        void operator()(agreement::sync const& wanted) const
        {
            this->owner.write_effect(wanted);
            this->owner.metrics.count_sync();
        }

        void operator()(agreement::role_changed const& wanted) const
        {
            log.info("Role is {} in term {}, leader is {}.",
                     agreement::to_string(wanted.role), wanted.term,
                     wanted.leader.empty() ? "unknown" : wanted.leader.text());
        }

        void operator()(control::send_to_peer const& wanted) const
        {
            this->owner.peers->send(wanted.link, link::encode(wanted.content));
        }

        void operator()(control::answer_operator const& wanted) const
        {
            this->owner.answer(wanted);
        }

        void operator()(control::link_members const& wanted) const
        {
            if (this->owner.book.has_value())
            {
                this->owner.book->set_named(own_log, wanted.hosts);
            }
        }

        void operator()(control::call_upstream_list const& wanted) const
        {
            this->owner.call_list(wanted.call);
        }

        void operator()(control::listing_changed const& wanted) const
        {
            log.info("Listing {}.{} of upstreams is held: {} new or changed, "
                     "{} gone, {} in all.",
                     wanted.position.term, wanted.position.number, wanted.put,
                     wanted.removed, wanted.upstreams);
        }

        void operator()(control::orders_changed const& wanted) const
        {
            log.info("Orders {} are accepted: version {}, {} zones closed.",
                     wanted.number, wanted.version, wanted.closed_zones);
        }

        void operator()(control::membership_planned const& wanted) const
        {
            log.info("Membership: {} {} of incarnation {} is asked for.",
                     agreement::to_string(wanted.change.action),
                     wanted.change.host.text(), wanted.change.incarnation);
        }

        implementation& owner;
    };
    std::visit(carrier{*this}, effect);
}

template <class Effect>
void control_program::implementation::write_effect(Effect const& wanted)
{
    if (!this->disk_failed)
    {
        this->write(this->store->carry_out(wanted));
    }
}

void control_program::implementation::write(absl::Status const& written)
{
    if (written.ok() || this->disk_failed)
    {
        return;
    }
    log.error("The data folder failed, nothing is accepted any more: {}",
              std::string(written.message()));
    this->disk_failed = true;
    this->ended_by = written;
    this->take(control::control_disk_failed{});
    this->refuse_open_calls();
    this->wait_for_disk();
}

void control_program::implementation::answer(
    control::answer_operator const& effect)
{
    auto const found = this->waiting.find(effect.number);
    if (found == this->waiting.end())
    {
        return;
    }
    open_operator_call const call = std::move(found->second);
    this->waiting.erase(found);
    call.answer(this->adapter.write_operator_reply(
        call.request, effect.reply, this->leader_port(effect.leader)));
}

std::optional<config::endpoint>
control_program::implementation::leader_port(host_id const& leader) const
{
    if (!this->forms_itself() || leader.empty() || leader == this->settings.id)
    {
        return std::nullopt;
    }
    return config::endpoint{leader.text(), this->settings.operator_listen.port};
}

void control_program::implementation::serve_caller(
    link::http_request const& request,
    link::http_endpoint::answer_function const& answer)
{
    absl::StatusOr<presence::steering_question> const asked =
        this->adapter.read_steering_question(request);
    if (!asked.ok())
    {
        answer(write_operator_reply(asked.status()));
        return;
    }
    answer(this->adapter.write_steering_reply(
        this->reducer->steer(*asked, now())));
}

absl::StatusOr<discovery::list_page> control_program::implementation::page_of(
    absl::StatusOr<link::http_result> const& result) const
{
    if (!result.ok())
    {
        return result.status();
    }
    if (result->status != http_ok)
    {
        return make_error(
            error_kind::no_room,
            fmt::format("The list of upstreams answered {}.", result->status),
            "It is asked again.");
    }
    return this->adapter.read_list_page(result->body);
}

void control_program::implementation::call_list(
    discovery::page_call const& call)
{
    this->list->get(
        this->adapter.list_target(call.page),
        [this,
         number = call.number](absl::StatusOr<link::http_result> const& result)
        {
            absl::StatusOr<discovery::list_page> page = this->page_of(result);
            if (!page.ok())
            {
                log.warning("The list of upstreams could not be read: {}",
                            std::string(page.status().message()));
                this->take(control::list_call_failed{number});
                return;
            }
            if (page->unreadable > 0)
            {
                log.warning("{} entries of the list of upstreams cannot be "
                            "read and are passed over.",
                            page->unreadable);
            }
            this->take(control::list_page_came{number, *std::move(page)});
        });
}

void control_program::implementation::serve_operator(
    link::http_request const& request,
    link::http_endpoint::answer_function answer)
{
    absl::StatusOr<std::string> const who =
        this->settings.trust == config::operator_trust::by_network
            ? std::string(network_operator)
            : authenticate(request, this->settings.operators);
    if (!who.ok())
    {
        answer(write_operator_reply(who.status()));
        return;
    }
    if (is_founding_order(request))
    {
        this->found(answer);
        return;
    }
    absl::StatusOr<control::operator_request> asked =
        this->adapter.read_operator_request(request, *who);
    if (!asked.ok())
    {
        log.warning("An operator's call {} {} was refused: {}", request.method,
                    request.target, std::string(asked.status().message()));
        answer(this->adapter.write_operator_reply(request, asked.status(),
                                                  std::nullopt));
        return;
    }
    if (this->disk_failed)
    {
        answer(this->adapter.write_operator_reply(request, this->ended_by,
                                                  std::nullopt));
        return;
    }
    ++this->last_request;
    this->waiting.emplace(this->last_request,
                          open_operator_call{request, std::move(answer)});
    this->take(control::operator_asked{this->last_request, std::move(*asked),
                                       wall_now()});
}

void control_program::implementation::found(
    link::http_endpoint::answer_function const& answer)
{
    // A host that has heard of a term is in a group that was founded a
    // moment ago: the leader may have listed it under its present
    // incarnation. Founding it now would change that and set its term back.
    bool const is_blank = this->reducer->log().membership().members.empty() &&
                          this->reducer->log().last_index() == 0 &&
                          this->reducer->log().term() == 0;
    if (!is_blank)
    {
        answer(write_operator_reply(make_error(
            error_kind::conflict, "This host belongs to a group already.",
            "Found a group only once, on hosts with blank data folders.")));
        return;
    }
    this->write(this->store->become_founder());
    if (this->disk_failed)
    {
        answer(write_operator_reply(this->ended_by));
        return;
    }

    // The same first membership at every founder.
    agreement::started first;
    first.founding.emplace();
    for (config::host_address const& host : this->settings.control_hosts)
    {
        first.founding->put({host.id, this->store->incarnation(), true, false});
    }
    this->make_reducer();
    this->take(control::control_started{std::move(first)});
    for (std::pair<link::link_number const, link::peer_identity> const& row :
         this->links)
    {
        this->take(control::peer_connected{row.first, row.second});
    }
    log.info("A new group of {} control hosts is founded.",
             this->settings.control_hosts.size());
    answer(write_operator_reply(control::done_reply{}));
}

void control_program::implementation::watch_settings()
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

void control_program::implementation::reload()
{
    std::optional<config::control_settings> const changed =
        this->source.changed();
    if (changed.has_value() && this->book.has_value())
    {
        this->settings.seeds = changed->seeds;
        this->book->set_seeds(changed->seeds);
        log.info("The settings were read again; {} seeds.",
                 changed->seeds.size());
    }
}

void control_program::implementation::start_ticking()
{
    this->ticker.expires_after(agreement::replica_settings{}.tick_interval);
    this->ticker.async_wait(
        [this](error_code const& error)
        {
            if (!error)
            {
                this->take(control::control_tick{});
                this->start_ticking();
            }
        });
}

void control_program::implementation::wait_for_reload()
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

void control_program::implementation::wait_for_stop()
{
    this->reloads.add(SIGHUP);
    this->wait_for_reload();
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.async_wait(
        [this](error_code const& error, int)
        {
            if (error)
            {
                return;
            }
            log.info("A stop was asked for.");
            if (this->reducer->log().role() != agreement::role::leader)
            {
                this->io.stop();
                return;
            }
            ++this->last_request;
            this->take(control::operator_asked{
                this->last_request, control::hand_over{}, wall_now()});
            this->stop_when_handed_over(now() + handover_patience);
        });
}

void control_program::implementation::stop_when_handed_over(instant deadline)
{
    bool const leads = this->reducer->log().role() == agreement::role::leader;
    if (!leads || now() >= deadline)
    {
        this->io.stop();
        return;
    }
    this->stopper.expires_after(std::chrono::milliseconds(20));
    this->stopper.async_wait(
        [this, deadline](error_code const&)
        {
            this->stop_when_handed_over(deadline);
        });
}

control_program::control_program(
    config::control_settings settings,
    settings_source<config::control_settings> source, control_bindings bindings)
    : impl(std::make_unique<implementation>(std::move(settings),
                                            std::move(source), bindings))
{
}

control_program::~control_program() = default;

absl::Status control_program::run()
{
    absl::Status opened = this->impl->open();
    if (!opened.ok())
    {
        return opened;
    }
    log.info("Control host {} runs, incarnation {}.",
             this->impl->settings.id.text(), this->impl->store->incarnation());
    this->impl->start_ticking();
    this->impl->watch_settings();
    this->impl->wait_for_stop();
    this->impl->io.run();
    return this->impl->ended_by;
}

} // namespace bilberrylead::daemon
