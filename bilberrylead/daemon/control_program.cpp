#include "bilberrylead/daemon/control_program_parts.hpp"

#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/core/process_seed.hpp"
#include "bilberrylead/daemon/listing_log.hpp"
#include "bilberrylead/daemon/revision_log.hpp"
#include "bilberrylead/link/run_event_loop.hpp"
#include "bilberrylead/presence/control_link_settings.hpp"

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

/// The source in the peer book that stands for the own log.
constexpr std::uint64_t own_log = 0;

} // namespace

control_program::implementation::implementation(
    config::control_settings given,
    settings_source<config::control_settings> file, control_bindings outside)
    : settings(std::move(given)), source(std::move(file)), adapter(outside),
      signals(io), ticker(io), stopper(io), disk_timer(io),
      watch(io,
            [this]
            {
                this->reload();
            })
{
}
absl::Status control_program::implementation::open()
{
    absl::StatusOr<control_store> opened =
        control_store::open(this->settings.data_folder);
    if (!opened.ok())
    {
        return opened.status();
    }
    this->store.emplace(std::move(*opened));
    if (this->settings.upstream_list.port != 0)
    {
        this->listing_memory.emplace(this->io, this->settings.data_folder,
                                     remembered_listing);
        this->plan_memory.emplace(this->io, this->settings.data_folder,
                                  remembered_plan);
    }
    if (this->founds_group())
    {
        this->write(this->store->become_founder());
        if (this->disk_failed)
        {
            return this->ended_by;
        }
        std::vector<host_id> founders;
        founders.reserve(this->settings.seeds.size());
        for (config::endpoint const& seed : this->settings.seeds)
        {
            founders.emplace_back(seed.address);
        }
        this->start_reducer(this->founding(founders));
        log.info("A new group of {} control hosts is founded.",
                 this->settings.seeds.size());
    }
    else
    {
        this->start_reducer(std::move(this->store->recovered()));
    }
    return this->listen();
}

bool control_program::implementation::forms_itself() const
{
    return this->settings.forms_itself();
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

/// The same first membership at every founder.
agreement::started control_program::implementation::founding(
    std::vector<host_id> const& founders) const
{
    agreement::started first;
    first.initial_membership.emplace();
    for (host_id const& founder : founders)
    {
        first.initial_membership->put(
            {founder, this->store->incarnation(), true, false});
    }
    return first;
}

void control_program::implementation::start_reducer(agreement::started found)
{
    this->make_reducer();
    control::control_started event{std::move(found), std::nullopt};
    this->recall(event);
    this->take(std::move(event));

    // Hosts that are linked already say so once only.
    for (std::pair<link::link_number const, link::peer_identity> const& row :
         this->links)
    {
        this->take(control::peer_connected{row.first, row.second});
    }
}

void control_program::implementation::recall(
    control::control_started& event) const
{
    if (!this->listing_memory.has_value())
    {
        return;
    }
    std::optional<link::message> listing = this->listing_memory->recall();
    if (listing.has_value())
    {
        link::upstream_update* const update =
            std::get_if<link::upstream_update>(&*listing);
        if (update != nullptr && update->changes.is_full)
        {
            event.listing = std::move(update->changes);
        }
    }
    std::optional<link::message> plan = this->plan_memory->recall();
    if (plan.has_value())
    {
        link::region_plan* const known = std::get_if<link::region_plan>(&*plan);
        if (known != nullptr)
        {
            event.plan = std::move(*known);
        }
    }
}

/// Writes what a restart of all hosts would miss most.
void control_program::implementation::remember()
{
    if (!this->listing_memory.has_value())
    {
        return;
    }
    instant const now = clock_now();
    if (this->listing_memory->wants_message(now))
    {
        this->listing_memory->remember(
            link::upstream_update{this->reducer->upstreams().full_listing(now)},
            now);
    }
    if (this->reducer->plan() != this->told_plan)
    {
        this->told_plan = this->reducer->plan();
        this->plan_memory->note_change();
    }
    if (this->told_plan.has_value() && this->plan_memory->wants_message(now))
    {
        this->plan_memory->remember(*this->told_plan, now);
    }
}

void control_program::implementation::make_reducer()
{
    control::control_reducer_settings wanted;
    wanted.self = this->settings.id;
    wanted.incarnation = this->store->incarnation();
    wanted.zone = this->settings.zone;
    wanted.region = this->settings.region;
    wanted.entries.max_ttl = this->settings.steering_ttl;
    wanted.places = this->settings.places;
    wanted.admission = this->settings.admission;
    wanted.replica.wait_after_pause = true;
    wanted.confirmation_wait = this->settings.confirmation_wait;
    if (this->forms_itself())
    {
        wanted.planner.emplace();
        wanted.planner->losses = this->settings.losses;
        wanted.max_fully_linked_hosts =
            presence::control_link_settings{}.max_fully_linked_hosts;
    }
    if (this->settings.upstream_list.port != 0)
    {
        wanted.list.emplace();
        if (this->settings.upstream_list_calls > 0)
        {
            wanted.list->calls_per_second = this->settings.upstream_list_calls;
        }
        wanted.list->budget.bound = this->settings.leaving_bound;
        for (config::place const& place : this->settings.places)
        {
            wanted.list->zones.push_back(place.zone);
        }
    }
    this->reducer.emplace(wanted,
                          process_seed(this->settings.id, wanted.incarnation));
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

void control_program::implementation::flush() noexcept
{
    this->flush_is_due = false;
    std::vector<control::control_event> const events =
        std::exchange(this->pending, {});
    instant const began = clock_now();
    std::vector<control::control_effect> const effects =
        this->reducer->reduce(events, began);
    instant before = clock_now();
    this->batch = {};
    this->batch.events = events.size();
    this->batch.reduce = before - began;
    bool const failed_before = this->disk_failed;
    for (control::control_effect const& effect : effects)
    {
        if (this->disk_failed && !failed_before)
        {
            // What follows a failed write must not be said to anybody.
            break;
        }
        this->carry_out(effect);
        instant const after = clock_now();
        this->time_of(effect) += after - before;
        before = after;
    }
    this->group.record_members(this->reducer->log().membership());
    this->metrics.count_batch(this->batch);
    log_slow_batch(this->batch);
}

/// The part of the current batch's time that an effect counts to.
duration&
control_program::implementation::time_of(control::control_effect const& effect)
{
    if (std::holds_alternative<control::send_to_peer>(effect) ||
        std::holds_alternative<control::send_to_peers>(effect))
    {
        return this->batch.send;
    }
    bool const writes =
        std::holds_alternative<agreement::persist_hard_state>(effect) ||
        std::holds_alternative<agreement::append_entries>(effect) ||
        std::holds_alternative<agreement::persist_snapshot>(effect) ||
        std::holds_alternative<agreement::sync>(effect);
    return writes ? this->batch.disk : this->batch.other;
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
            std::optional<duration> const without_leader =
                this->owner.group.record_role(wanted, clock_now());
            if (without_leader.has_value())
            {
                this->owner.metrics.count_time_without_leader(*without_leader);
            }
        }

        void operator()(control::send_to_peer const& wanted) const
        {
            bytes const& encoded = this->owner.encoder.encode(wanted.content);
            ++this->owner.batch.messages;
            this->owner.batch.bytes += encoded.size();
            this->owner.peers->send(wanted.link, encoded);
        }

        void operator()(control::send_to_peers const& wanted) const
        {
            bytes const encoded = link::encode(wanted.content);
            for (link::link_number const each : wanted.links)
            {
                ++this->owner.batch.messages;
                this->owner.batch.bytes += encoded.size();
                this->owner.peers->send(each, encoded);
            }
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
            if (this->owner.listing_memory.has_value())
            {
                this->owner.listing_memory->note_change();
            }
            this->owner.metrics.count_listing(wanted);
            log_listing(wanted);
        }

        void operator()(control::listing_delivered const& wanted) const
        {
            this->owner.metrics.count_delivery(wanted.report);
            log_delivery(wanted.report);
        }

        void operator()(control::change_confirmed const& wanted) const
        {
            this->owner.metrics.count_confirmation(wanted);
            log_confirmation(wanted);
        }

        void operator()(control::revision_delivered const& wanted) const
        {
            this->owner.metrics.count_delivery(wanted.report);
            log_delivery(wanted.report);
        }

        void operator()(control::listing_budget_changed const& wanted) const
        {
            if (wanted.is_kept)
            {
                log.info("The list of upstreams is read and delivered fast "
                         "enough again.");
                return;
            }
            log.warning(
                "The list of upstreams is read or delivered too slowly: "
                "a leaving upstream may receive requests beyond "
                "leaving_bound_s.");
        }

        void operator()(control::orders_changed const& wanted) const
        {
            log.info("Orders {} are accepted: version {}, {} zones closed.",
                     wanted.number, wanted.version, wanted.closed_zones);
        }

        void operator()(control::revision_in_force const& wanted) const
        {
            this->owner.read_name_regions(*wanted.document);
        }

        void operator()(control::membership_planned const& wanted) const
        {
            log.info("Membership: {} {} of incarnation {} is asked for.",
                     agreement::to_string(wanted.change.action),
                     wanted.change.host.text(), wanted.change.incarnation);
        }

        void operator()(control::crash_record_lifted const& wanted) const
        {
            log.info("Request {:016x} may run again: operator {}.",
                     wanted.digest, wanted.operator_name);
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

void control_program::implementation::reload()
{
    std::optional<config::control_settings> const changed =
        this->source.changed();
    // Seeds that were known go on being called while there are none to name.
    if (changed.has_value() && !changed->seeds.empty() &&
        this->book.has_value())
    {
        this->settings.seeds = changed->seeds;
        this->book->set_seeds(changed->seeds);
        log.info("The settings were read again; {} seeds.",
                 changed->seeds.size());
    }
}

void control_program::implementation::start_ticking()
{
    duration const interval = agreement::replica_settings{}.tick_interval;
    instant const due = clock_now() + interval;
    this->ticker.expires_after(interval);
    this->ticker.async_wait(
        [this, due](error_code const& error) noexcept
        {
            if (!error)
            {
                duration const late = clock_now() - due;
                this->metrics.count_tick(late);
                log_late_tick(late);
                this->take(control::control_tick{});
                this->remember();
                this->start_ticking();
            }
        });
}

void control_program::implementation::wait_for_stop()
{
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.async_wait(
        [this](error_code const& error, int) noexcept
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
            this->take(control::operator_request_received{
                this->last_request, control::hand_over{}, wall_clock_now()});
            this->stop_when_handed_over(clock_now() + handover_patience);
        });
}

void control_program::implementation::stop_when_handed_over(instant deadline)
{
    bool const leads = this->reducer->log().role() == agreement::role::leader;
    if (!leads || clock_now() >= deadline)
    {
        this->io.stop();
        return;
    }
    this->stopper.expires_after(std::chrono::milliseconds(20));
    this->stopper.async_wait(
        [this, deadline](error_code const&) noexcept
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
    this->impl->watch.start();
    this->impl->wait_for_stop();
    link::run_event_loop(this->impl->io);
    return this->impl->ended_by;
}

} // namespace bilberrylead::daemon
