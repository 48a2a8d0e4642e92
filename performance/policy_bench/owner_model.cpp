#include "owner_model.hpp"

#include <algorithm>
#include <chrono>
#include <type_traits>
#include <variant>

namespace policy_bench
{

using namespace std::chrono_literals;
using namespace bilberrylead::policy;
using bilberrylead::duration;
using bilberrylead::instant;
using bilberrylead::config::work_length;

namespace
{

/// Least time between two load reports to zones of the region, and to
/// others.
constexpr duration near_report_interval = 1ms;
constexpr duration far_report_interval = 10ms;
constexpr duration tick_interval = 20ms;
/// Most time between two load reports.
constexpr duration sign_of_life = 200ms;
constexpr duration download_deadline = 60s;

/// Zone `other` in the list of neighbours of `zone`.
std::uint32_t neighbour_index(std::uint32_t zone, std::uint32_t other)
{
    return other < zone ? other : other - 1;
}

} // namespace

owner_model::owner_model(profile const& where, scenario const& what,
                         std::vector<arrival> const& arrivals,
                         steering_kind steered,
                         slot_owner_settings const& settings)
    : where(where), what(what), arrivals(arrivals), steer(steered, where, what),
      host_zones(where.entry_host_zones()), result(arrivals, what.deadline),
      places(arrivals.size())
{
    for (std::uint32_t zone = 0; zone < where.zones(); ++zone)
    {
        zone_state state;
        state.owner_host = static_cast<std::uint32_t>(
            std::find(host_zones.begin(), host_zones.end(), zone) -
            host_zones.begin());
        state.first_upstream =
            static_cast<std::uint32_t>(this->upstreams.size());
        for (std::uint32_t at = 0; at < where.zone_upstreams[zone]; ++at)
        {
            this->upstreams.emplace_back(where.machines[this->upstreams.size()],
                                         where.slots, what);
        }
        std::vector<nearby_zone> neighbours;
        for (std::uint32_t other = 0; other < where.zones(); ++other)
        {
            if (other != zone)
            {
                nearby_zone one;
                one.one_way_latency = where.distance(zone, other);
                neighbours.push_back(one);
            }
        }
        this->zones.push_back(state);
        this->owners.emplace_back(
            std::vector<std::uint32_t>(where.zone_upstreams[zone], where.slots),
            neighbours, settings);
    }
}

summary owner_model::run()
{
    for (slot_owner& owner : this->owners)
    {
        owner.reduce(ownership_started{1, instant::max(), {}, 0}, {});
    }
    this->events.add(this->arrivals.front().at, {kind::arrive, 0, 0, 0, {}});
    this->events.add({}, {kind::tick, 0, 0, 0, {}});
    this->events.add(this->arrivals[this->arrivals.size() / 3].at,
                     {kind::restart, 0, 0, 0, {}});
    while (!this->events.empty())
    {
        event const next = this->events.next();
        this->handle(next);
    }
    return this->result.summarize();
}

void owner_model::after(duration delay, event next)
{
    this->events.add(this->events.now() + delay, next);
}

duration owner_model::to_owner(std::uint32_t host, std::uint32_t zone) const
{
    bool const same = this->zones[zone].owner_host == host;
    return same ? duration{}
                : this->where.distance(this->host_zones[host], zone);
}

void owner_model::handle(event const& next)
{
    place& at = this->places[next.request];
    switch (next.what)
    {
    case kind::arrive:
        this->arrive(next.request);
        break;
    case kind::ask:
        this->ask(next.request);
        break;
    case kind::granted:
        this->send(next.request);
        break;
    case kind::refused:
        this->result.refused(next.request, this->events.now());
        break;
    case kind::move:
        // The host takes the request to the other zone's owner, which asks
        // itself for a slot.
        at.moved = true;
        at.zone = next.zone;
        at.asker = this->zones[next.zone].owner_host;
        this->after(this->where.distance(this->host_zones[at.host], next.zone),
                    {kind::ask, next.request, 0, 0, {}});
        break;
    case kind::reach:
        if (this->upstreams[at.upstream].take(next.request))
        {
            this->start(next.request);
        }
        break;
    case kind::finish:
        this->finish(next.request);
        break;
    case kind::answer:
        this->answer(next.request);
        break;
    case kind::release:
        this->release(next.request);
        break;
    case kind::load:
        if (this->events.now() < this->arrivals.back().at + download_deadline)
        {
            this->reduce(next.zone, next.load);
        }
        break;
    case kind::tick:
        this->tick();
        break;
    case kind::restart:
        for (upstream_model& upstream : this->upstreams)
        {
            upstream.restart();
        }
        break;
    }
}

void owner_model::arrive(std::uint32_t request)
{
    if (request + 1 < this->arrivals.size())
    {
        this->events.add(this->arrivals[request + 1].at,
                         {kind::arrive, request + 1, 0, 0, {}});
    }
    place& at = this->places[request];
    at.host = this->steer.entry_host(this->arrivals[request]);
    at.asker = at.host;
    at.zone = this->host_zones[at.host];
    this->after(this->to_owner(at.host, at.zone),
                {kind::ask, request, 0, 0, {}});
}

void owner_model::ask(std::uint32_t request)
{
    place const& at = this->places[request];
    arrival const& one = this->arrivals[request];
    duration const allowed = one.length == work_length::brief
                                 ? this->what.deadline
                                 : download_deadline;
    duration const way_back =
        at.moved ? this->where.distance(this->host_zones[at.host], at.zone)
                 : duration{};
    slot_requested asked;
    asked.host = at.asker;
    asked.ticket = request;
    asked.flow = one.flow;
    asked.time_left = one.at + allowed - way_back - this->events.now() -
                      this->steer.extra(one, at.host);
    asked.length = one.length;
    asked.moved = at.moved;
    this->reduce(at.zone, asked);
}

void owner_model::send(std::uint32_t request)
{
    this->places[request].sent = this->events.now();
    this->after(this->where.within_zone, {kind::reach, request, 0, 0, {}});
}

void owner_model::start(std::uint32_t request)
{
    upstream_model& upstream = this->upstreams[this->places[request].upstream];
    this->after(upstream.run_time(this->arrivals[request].work),
                {kind::finish, request, 0, 0, {}});
}

void owner_model::finish(std::uint32_t request)
{
    std::optional<std::uint32_t> const next =
        this->upstreams[this->places[request].upstream].finish();
    if (next.has_value())
    {
        this->start(*next);
    }
    this->after(this->where.within_zone, {kind::answer, request, 0, 0, {}});
}

void owner_model::answer(std::uint32_t request)
{
    place const& at = this->places[request];
    this->after(this->to_owner(at.asker, at.zone),
                {kind::release, request, 0, 0, {}});
    duration const way_back =
        at.moved ? this->where.distance(this->host_zones[at.host], at.zone)
                 : duration{};
    this->result.answered(request, this->events.now() + way_back,
                          this->steer.extra(this->arrivals[request], at.host));
}

void owner_model::release(std::uint32_t request)
{
    place const& at = this->places[request];
    duration const travelled =
        2 * this->where.within_zone + this->to_owner(at.asker, at.zone);
    this->reduce(at.zone,
                 slot_released{at.asker, at.grant,
                               this->events.now() - at.sent - travelled});
}

void owner_model::tick()
{
    for (std::uint32_t zone = 0; zone < this->zones.size(); ++zone)
    {
        for (std::uint32_t host = 0; host < this->host_zones.size(); ++host)
        {
            if (this->host_zones[host] == zone)
            {
                this->reduce(zone, heartbeat_received{host});
            }
        }
        this->reduce(zone, time_passed{});
    }
    if (this->events.now() < this->arrivals.back().at + download_deadline)
    {
        this->after(tick_interval, {kind::tick, 0, 0, 0, {}});
    }
}

void owner_model::reduce(std::uint32_t zone, slot_owner_event const& event)
{
    std::vector<slot_owner_effect> const& effects =
        this->owners[zone].reduce(event, this->events.now());
    for (slot_owner_effect const& effect : effects)
    {
        this->carry_out(zone, effect);
    }
    this->tell_load(zone);
}

void owner_model::carry_out(std::uint32_t zone, slot_owner_effect const& effect)
{
    if (slot_granted const* const granted = std::get_if<slot_granted>(&effect))
    {
        std::uint32_t const request =
            static_cast<std::uint32_t>(granted->ticket);
        place& at = this->places[request];
        at.upstream = this->zones[zone].first_upstream + granted->upstream;
        at.grant = granted->grant;
        this->after(this->to_owner(at.asker, zone),
                    {kind::granted, request, 0, 0, {}});
    }
    else if (slot_refused const* const refused =
                 std::get_if<slot_refused>(&effect))
    {
        std::uint32_t const request =
            static_cast<std::uint32_t>(refused->ticket);
        place const& at = this->places[request];
        this->after(this->to_owner(at.host, zone),
                    {kind::refused, request, 0, 0, {}});
    }
    else
    {
        request_moved const& moved = std::get<request_moved>(effect);
        std::uint32_t const request = static_cast<std::uint32_t>(moved.ticket);
        std::uint32_t const target =
            moved.zone < zone ? moved.zone : moved.zone + 1;
        this->after(this->to_owner(this->places[request].asker, zone),
                    {kind::move, request, target, 0, {}});
    }
}

void owner_model::tell_load(std::uint32_t zone)
{
    // Zones of the region often, the others seldom; nothing while nothing
    // changes, but for a sign of life.
    zone_state& state = this->zones[zone];
    instant const now = this->events.now();
    zone_load_reported const load = this->owners[zone].load(now);
    bool const near = is_due(state.near, load, now, near_report_interval);
    bool const far = is_due(state.far, load, now, far_report_interval);
    for (std::uint32_t other = 0; other < this->zones.size(); ++other)
    {
        bool const same_region =
            this->where.region_of(other) == this->where.region_of(zone);
        if (other == zone || !(same_region ? near : far))
        {
            continue;
        }
        zone_load_reported report = load;
        report.zone = neighbour_index(other, zone);
        this->after(this->where.distance(zone, other),
                    {kind::load, 0, other, zone, report});
    }
    state.near = near ? told{load, now} : state.near;
    state.far = far ? told{load, now} : state.far;
}

bool owner_model::is_due(told const& last, zone_load_reported const& load,
                         instant now, duration interval)
{
    bool const changed = load.usable != last.load.usable ||
                         load.expected_wait != last.load.expected_wait;
    duration const age = now - last.at;
    return (changed && age >= interval) || age >= sign_of_life;
}

} // namespace policy_bench
