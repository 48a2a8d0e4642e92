#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

/// Requests that are passed on to other entry hosts while this one reaches no
/// upstream.
namespace bilberrylead::entry
{

namespace
{

/// Interval between two probes of upstreams while none can be reached.
constexpr duration contact_probe_interval = std::chrono::milliseconds(250);
/// Upstreams that are probed before the way to all of them counts as lost.
constexpr std::size_t verifying_probes = 4;
/// Most entry hosts that a request is passed on to, one after another.
constexpr std::size_t max_relays = 2;
/// Status by which an entry host refuses a request of another one that has
/// another configuration.
constexpr std::uint16_t status_misdirected = 421;

bool is_success(std::uint16_t status)
{
    return status >= 200 && status < 300;
}

} // namespace

config::upstream const*
entry_reducer::find_upstream(upstream_id const& id) const
{
    for (auto const& [service, state] : this->service_states)
    {
        if (state.has_record(id))
        {
            config::upstream const* const found = state.find_upstream(id);
            if (found != nullptr)
            {
                return found;
            }
        }
    }
    return nullptr;
}

void entry_reducer::configure_contact()
{
    std::size_t upstreams = 0;
    std::set<zone_id> zones;
    for (auto const& [service, state] : this->service_states)
    {
        for (configured_upstream const& each : state.upstreams())
        {
            ++upstreams;
            zones.insert(each.upstream->zone);
        }
    }
    this->contact.configure(upstreams, zones.size());
}

void entry_reducer::on(upstream_connected const& event)
{
    this->record_connection(event.upstream);
}

void entry_reducer::on(relay_hosts_received const& event)
{
    this->relay_hosts = event.hosts;
}

void entry_reducer::record_connection(upstream_id const& upstream)
{
    this->last_connection_at = this->now;
    this->only_others_reach_since.reset();
    if (this->contact.record_accepted(upstream) !=
        policy::contact_change::restored)
    {
        return;
    }
    for (auto& [service, state] : this->service_states)
    {
        state.reset_health();
    }
    this->pending_effects.push_back(upstream_contact_changed{false});
}

void entry_reducer::record_connection_failure(upstream_id const& upstream,
                                              zone_id const& zone)
{
    policy::contact_change change =
        this->contact.record_failed(upstream, zone, this->now);
    if (change == policy::contact_change::suspected)
    {
        std::set<upstream_id> probed;
        for (config::upstream const* const each :
             this->choose_probes(verifying_probes))
        {
            probed.insert(each->id);
            this->pending_effects.push_back(
                probe_upstream{each->id, each->address});
        }
        change = this->contact.verify(std::move(probed));
    }
    if (change == policy::contact_change::lost)
    {
        this->next_contact_probe = this->now + contact_probe_interval;
        this->pending_effects.push_back(upstream_contact_changed{true});
    }
}

/// Upstreams that have not failed recently, at random, of as many zones as
/// there are.
std::vector<config::upstream const*>
entry_reducer::choose_probes(std::size_t count)
{
    std::vector<config::upstream const*> candidates;
    for (auto const& [service, state] : this->service_states)
    {
        for (configured_upstream const& each : state.upstreams())
        {
            if (state.may_receive(each.upstream->id, this->now) &&
                !this->contact.has_failed(each.upstream->id))
            {
                candidates.push_back(each.upstream);
            }
        }
    }
    std::vector<config::upstream const*> chosen;
    std::set<zone_id> zones;
    while (chosen.size() < count && !candidates.empty())
    {
        std::size_t const place = this->probe_random.below(
            static_cast<std::uint32_t>(candidates.size()));
        config::upstream const* const candidate = candidates[place];
        candidates[place] = candidates.back();
        candidates.pop_back();
        if (zones.insert(candidate->zone).second || candidates.size() < count)
        {
            chosen.push_back(candidate);
        }
    }
    return chosen;
}

void entry_reducer::probe_for_contact()
{
    if (!this->contact.is_lost() || this->now < this->next_contact_probe)
    {
        return;
    }
    this->next_contact_probe = this->now + contact_probe_interval;
    // Two at a time, since two must accept a connection.
    for (config::upstream const* const each : this->choose_probes(2))
    {
        this->pending_effects.push_back(
            probe_upstream{each->id, each->address});
    }
}

/// The host that carries fewest requests of this one, among those of the
/// nearest region that has any the request may go to.
relay_host const*
entry_reducer::choose_relay_host(live_request const& request) const
{
    relay_host const* chosen = nullptr;
    std::uint32_t fewest = 0;
    for (relay_host const& each : this->relay_hosts)
    {
        bool const may_carry =
            (request.regions.empty() ||
             std::find(request.regions.begin(), request.regions.end(),
                       each.region) != request.regions.end()) &&
            std::find(request.relayed_to.begin(), request.relayed_to.end(),
                      each.id) == request.relayed_to.end();
        if (!may_carry)
        {
            continue;
        }
        if (chosen != nullptr && each.region != chosen->region)
        {
            break;
        }
        auto const found = this->relays_in_flight.find(each.id);
        std::uint32_t const carried =
            found == this->relays_in_flight.end() ? 0 : found->second;
        if (chosen == nullptr || carried < fewest)
        {
            chosen = &each;
            fewest = carried;
        }
    }
    return chosen;
}

/// The host to pass a request on to; null if it has to be placed here. One that
/// may have run is passed on only if it may be repeated.
relay_host const*
entry_reducer::find_relay_host(live_request const& request) const
{
    bool const may_be_sent =
        !request.may_have_run || (request.repeatable && request.body_kept);
    bool const may_relay = this->contact.is_lost() && !request.is_relayed &&
                           may_be_sent && !request.holds_claim &&
                           !request.caller_done &&
                           request.relayed_to.size() < max_relays &&
                           !this->routing->has_selectors(request.service);
    return may_relay ? this->choose_relay_host(request) : nullptr;
}

/// Passes a request on if it can be. Returns false if it has to be placed here.
bool entry_reducer::relay(live_request& request)
{
    relay_host const* const host = this->find_relay_host(request);
    if (host == nullptr)
    {
        return false;
    }
    // The other host counts the request against the customer's limit.
    this->return_token(request);
    request.relayed_to.push_back(host->id);
    ++this->relays_in_flight[host->id];
    ++this->current_counters.relayed;
    request.life_cycle.wait();
    request.life_cycle.send();
    request.sent_at = this->now;
    this->set_timer(request, request.deadline);
    start_upstream order;
    order.request = request.number;
    order.service = request.service;
    order.address = host->address;
    order.deadline = request.deadline;
    order.progress_timeout = request.progress_timeout;
    order.run_once = !request.repeatable;
    order.new_connection_only = request.relayed_to.size() > 1;
    order.to_entry_host = true;
    order.regions = request.regions;
    order.routed_by = request.routed_by;
    this->pending_effects.push_back(std::move(order));
    return true;
}

void entry_reducer::on_relay_head(live_request& request,
                                  upstream_head_received const& event)
{
    if (event.status == status_misdirected)
    {
        this->relay_elsewhere(request);
        return;
    }
    bool const was_run = is_success(event.status) && this->contact.is_lost();
    if (was_run && !this->only_others_reach_since.has_value())
    {
        this->only_others_reach_since = this->now;
    }
    request.status = event.status;
    request.time_to_head = this->now - request.sent_at;
    request.life_cycle.stream();
    this->timers.erase({request.timer, request.number});
    this->count_end(request, &service_counters::done);
    this->pending_effects.push_back(stream_answer{request.number});
}

/// Passes a request on to another host after one with another configuration
/// has not run it.
void entry_reducer::relay_elsewhere(live_request& request)
{
    this->pending_effects.push_back(cancel_upstream{request.number});
    this->release_slot(request);
    request.life_cycle.pause();
    if (!request.body_kept || !this->relay(request))
    {
        this->refuse(request, refusal_reason::other_configuration);
    }
}

/// Refuses a request that another host has passed on by another configuration,
/// so that this host might treat it otherwise.
void entry_reducer::refuse_relayed(request_arrived const& event)
{
    request_ended end;
    end.request = event.request;
    end.routed_by = this->revision;
    end.digest = event.digest;
    end.caller = event.caller;
    end.is_relayed = true;
    end.outcome = request_outcome::not_run;
    end.reason = refusal_reason::other_configuration;
    end.status = status_misdirected;
    this->pending_effects.push_back(std::move(end));
    this->answer_with_problem(event.request, {}, status_misdirected,
                              refusal_reason::other_configuration,
                              duration::zero());
}

void entry_reducer::on_relay_failure(live_request& request,
                                     upstream_failed const& event)
{
    this->release_slot(request);
    if (request.life_cycle.current() == request_state::streaming)
    {
        request.outcome = request_outcome::broken_off;
        request.reason = refusal_reason::connection_lost;
        this->finish(request);
        return;
    }
    request.may_have_run =
        request.may_have_run || event.phase != exchange_phase::not_sent;
    request.life_cycle.pause();
    if (!this->relay(request))
    {
        this->refuse(request, event.phase == exchange_phase::not_sent
                                  ? refusal_reason::connect_failed
                                  : refusal_reason::connection_lost);
    }
}

} // namespace bilberrylead::entry
