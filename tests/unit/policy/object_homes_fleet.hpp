#ifndef BILBERRYLEAD_TESTS_UNIT_POLICY_OBJECT_HOMES_FLEET_HPP
#define BILBERRYLEAD_TESTS_UNIT_POLICY_OBJECT_HOMES_FLEET_HPP

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/home_scope.hpp"
#include "bilberrylead/policy/mean_load.hpp"
#include "bilberrylead/policy/recent_objects.hpp"
#include "bilberrylead/policy/upstream_estimate.hpp"
#include "bilberrylead/policy/upstream_placement.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <queue>
#include <variant>
#include <vector>

namespace bilberrylead::policy
{

/// Settings of an `object_homes_fleet`.
struct object_homes_fleet_settings
{
    /// Upstreams of each zone of the region.
    std::vector<std::size_t> upstreams = {42, 42};
    std::size_t hosts_per_zone = 11;
    /// Hosts of another region that send here; none by default.
    std::size_t foreign_hosts = 0;
    /// Requests per second from each zone, and from the hosts of the other
    /// region.
    double zone_rate = 250;
    double foreign_rate = 0;
    std::uint32_t slots = 4;
    std::size_t queue = 12;
    std::size_t cached = 19;
    std::uint32_t objects = 260;
    duration cold_run = std::chrono::milliseconds(920);
    duration target = std::chrono::milliseconds(600);
    duration deadline = std::chrono::seconds(5);
    duration zone_latency = std::chrono::microseconds(500);
    duration region_latency = std::chrono::milliseconds(35);
    std::uint64_t response_bytes = 5000;
    placement_settings placement;
    /// Number of hosts of each zone that keep the homes of the region whatever
    /// they see.
    std::size_t hosts_with_region_homes = 0;
    std::uint64_t seed = 1;
};

/// What happened to the requests of a period.
struct object_homes_result
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    /// Requests that were on an upstream that was lost.
    std::uint64_t lost = 0;
    std::uint64_t cold = 0;
    /// Served after the latency target.
    std::uint64_t late = 0;
    /// Bytes of responses that crossed zones of the region.
    std::uint64_t crossed_bytes = 0;
    /// Served requests that did not complete in time, refused and lost ones,
    /// by zone of the callers.
    std::vector<std::uint64_t> bad_by_zone;
    std::vector<std::uint64_t> requests_by_zone;

    double cold_share() const
    {
        return static_cast<double>(this->cold) /
               static_cast<double>(this->served);
    }

    double bad_share() const
    {
        return static_cast<double>(this->late + this->refused + this->lost) /
               static_cast<double>(this->requests);
    }

    double bad_share(std::size_t zone) const
    {
        return static_cast<double>(this->bad_by_zone[zone]) /
               static_cast<double>(this->requests_by_zone[zone]);
    }
};

/// Entry hosts of the zones of one region, and upstreams that are faster with
/// the objects in their caches. Hosts learn of upstreams by answers only. Every
/// decision is made by the classes that entry hosts use.
class object_homes_fleet
{
public:
    explicit object_homes_fleet(object_homes_fleet_settings const& given)
        : settings(given), random(given.seed)
    {
        for (std::size_t zone = 0; zone < given.upstreams.size(); ++zone)
        {
            for (std::size_t count = 0; count < given.upstreams[zone]; ++count)
            {
                upstream made;
                made.zone = zone;
                made.hash =
                    generator(1000 * (zone + 1) + count + given.seed).next();
                this->upstreams.push_back(made);
            }
            for (std::size_t count = 0; count < given.hosts_per_zone; ++count)
            {
                this->add_host(zone, count >= given.hosts_with_region_homes);
            }
        }
        for (std::size_t count = 0; count < given.foreign_hosts; ++count)
        {
            this->add_host(foreign, false);
        }
        this->set_objects(given.objects);
        this->reset();
    }

    /// Plays the load for that time and returns what happened in it.
    object_homes_result run(duration time)
    {
        this->reset();
        instant const end = this->now + time;
        while (this->now < end)
        {
            this->now += this->next_pause();
            this->finish_until(this->now);
            this->arrive();
        }
        return this->result;
    }

    /// Ends all upstreams of a zone, or starts them with empty caches.
    void set_zone_up(std::size_t zone, bool up)
    {
        for (upstream& each : this->upstreams)
        {
            if (each.zone != zone)
            {
                continue;
            }
            each.up = up;
            each.cache.clear();
            std::size_t const index =
                static_cast<std::size_t>(&each - this->upstreams.data());
            for (work const& lost : each.waiting)
            {
                --this->hosts[lost.host].upstreams[index].in_flight;
                this->lose(lost);
            }
            each.waiting.clear();
            each.running = 0;
            ++each.incarnation;
        }
    }

    /// Number of hosts of the zone whose homes are in the zone.
    std::size_t hosts_with_zone_homes(std::size_t zone) const
    {
        std::size_t count = 0;
        for (host const& each : this->hosts)
        {
            count += each.zone == zone && each.scope.has_value() &&
                             each.scope->current() == config::object_homes::zone
                         ? 1
                         : 0;
        }
        return count;
    }

    /// Number of changes of the scope since the start, over all hosts.
    std::uint64_t changes() const
    {
        return this->scope_changes;
    }

    /// Callers request that many objects from now on, some of them several
    /// times as often as others.
    void set_objects(std::uint32_t objects)
    {
        this->popularity.clear();
        double sum = 0;
        for (std::uint32_t object = 0; object < objects; ++object)
        {
            sum += 1 / std::sqrt(object + 1.0);
            this->popularity.push_back(sum);
        }
    }

private:
    static constexpr std::size_t foreign = 99;
    static constexpr double warm_share = 0.3;

    struct work
    {
        std::size_t host = 0;
        std::uint64_t object = 0;
        instant arrived{};
        duration round_trip{};
        duration expected_wait{};
        double run_factor = 1;
    };

    struct upstream
    {
        std::size_t zone = 0;
        std::uint64_t hash = 0;
        bool up = true;
        std::uint32_t running = 0;
        std::uint64_t incarnation = 0;
        std::deque<work> waiting;
        std::list<std::uint64_t> cache;
    };

    struct upstream_of_host
    {
        std::uint32_t in_flight = 0;
        upstream_estimate estimate;
        recent_objects objects;
    };

    struct host
    {
        std::size_t zone = 0;
        std::vector<upstream_of_host> upstreams;
        mean_load mean{std::chrono::milliseconds(100), 0};
        upstream_placement placement;
        std::optional<home_scope> scope;
        generator random{0};
    };

    struct end_of_run
    {
        instant at;
        std::size_t upstream = 0;
        std::uint64_t incarnation = 0;
        work done;

        bool operator<(end_of_run const& other) const
        {
            return this->at > other.at;
        }
    };

    void add_host(std::size_t zone, bool decides)
    {
        host made;
        made.zone = zone;
        made.upstreams.resize(this->upstreams_in_all());
        made.placement = upstream_placement(this->settings.placement);
        made.random = generator(this->random.next());
        if (decides &&
            this->settings.placement.homes == config::object_homes::zone)
        {
            made.scope.emplace(this->settings.placement.remembered_objects);
        }
        this->hosts.push_back(std::move(made));
    }

    std::size_t upstreams_in_all() const
    {
        std::size_t sum = 0;
        for (std::size_t const each : this->settings.upstreams)
        {
            sum += each;
        }
        return sum;
    }

    void reset()
    {
        this->result = {};
        this->result.bad_by_zone.assign(this->settings.upstreams.size(), 0);
        this->result.requests_by_zone.assign(this->settings.upstreams.size(),
                                             0);
    }

    double total_rate() const
    {
        return this->settings.zone_rate *
                   static_cast<double>(this->settings.upstreams.size()) +
               this->settings.foreign_rate;
    }

    duration next_pause()
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(-std::log(1 - this->random.unit()) /
                                          this->total_rate()));
    }

    std::size_t draw_host()
    {
        std::size_t const local =
            this->settings.hosts_per_zone * this->settings.upstreams.size();
        bool const is_foreign = this->random.unit() * this->total_rate() <
                                this->settings.foreign_rate;
        return is_foreign
                   ? local + this->random.below(static_cast<std::uint32_t>(
                                 this->settings.foreign_hosts))
                   : this->random.below(static_cast<std::uint32_t>(local));
    }

    std::uint64_t draw_object()
    {
        double const drawn = this->random.unit() * this->popularity.back();
        return 1 + static_cast<std::uint64_t>(
                       std::upper_bound(this->popularity.begin(),
                                        this->popularity.end(), drawn) -
                       this->popularity.begin());
    }

    duration latency(host const& from, upstream const& to) const
    {
        return from.zone == foreign   ? this->settings.region_latency
               : from.zone == to.zone ? duration::zero()
                                      : this->settings.zone_latency;
    }

    void fill_candidates(host const& from, std::uint64_t object)
    {
        this->candidates.resize(this->upstreams.size());
        for (std::size_t index = 0; index < this->upstreams.size(); ++index)
        {
            upstream const& to = this->upstreams[index];
            upstream_of_host const& known = from.upstreams[index];
            placement_candidate& candidate = this->candidates[index];
            candidate.hash = to.hash;
            candidate.slots = this->settings.slots;
            candidate.in_flight = known.in_flight;
            candidate.held_by_others = known.estimate.held_by_others(
                from.mean.held_by_others(), this->now);
            candidate.service_time = scaled(from.mean.run_time(),
                                            known.estimate.slowdown(this->now));
            candidate.one_way_latency = this->latency(from, to);
            candidate.zone = from.zone == to.zone
                                 ? placement_candidate::own_zone
                                 : static_cast<std::uint32_t>(to.zone) + 1;
            candidate.allowed = to.up;
            candidate.likely_cached = known.objects.contains(object);
        }
    }

    void update_scope(host& each)
    {
        if (!each.scope.has_value() || !each.scope->is_due(this->now))
        {
            return;
        }
        std::size_t zone = 0;
        std::size_t region = 0;
        for (upstream const& to : this->upstreams)
        {
            region += to.up ? 1 : 0;
            zone += to.up && to.zone == each.zone ? 1 : 0;
        }
        if (each.scope->update(zone, region, this->now))
        {
            ++this->scope_changes;
            for (upstream_of_host& known : each.upstreams)
            {
                known.objects = {};
            }
        }
    }

    void count_bad(std::size_t zone)
    {
        if (zone != foreign)
        {
            ++this->result.bad_by_zone[zone];
        }
    }

    void lose(work const& lost)
    {
        ++this->result.lost;
        this->count_bad(this->hosts[lost.host].zone);
    }

    void arrive()
    {
        std::size_t const number = this->draw_host();
        host& from = this->hosts[number];
        ++this->result.requests;
        if (from.zone != foreign)
        {
            ++this->result.requests_by_zone[from.zone];
        }
        this->update_scope(from);
        placement_request request;
        request.object = this->draw_object();
        request.time_to_target = this->settings.target;
        request.time_to_deadline = this->settings.deadline;
        if (from.scope.has_value())
        {
            request.homes = from.scope->current();
            request.required_zone_upstreams = from.scope->required_upstreams();
        }
        this->fill_candidates(from, request.object);
        placement_verdict const verdict =
            from.placement.place(this->candidates, request, from.random);
        placed const* const found = std::get_if<placed>(&verdict);
        if (found == nullptr)
        {
            this->refuse(from);
            return;
        }
        if (from.scope.has_value())
        {
            from.scope->record(request.object, this->now);
        }
        upstream& to = this->upstreams[found->index];
        if (to.running >= this->settings.slots &&
            to.waiting.size() >= this->settings.queue)
        {
            from.upstreams[found->index].estimate.record_refusal(
                this->settings.slots, from.upstreams[found->index].in_flight,
                this->now);
            this->refuse(from);
            return;
        }
        ++from.upstreams[found->index].in_flight;
        work const made{number,      request.object,
                        this->now,   2 * this->latency(from, to),
                        found->wait, found->run_factor};
        if (to.running < this->settings.slots)
        {
            this->start(found->index, made);
        }
        else
        {
            to.waiting.push_back(made);
        }
    }

    void refuse(host const& from)
    {
        ++this->result.refused;
        this->count_bad(from.zone);
    }

    void start(std::size_t index, work const& begun)
    {
        upstream& runner = this->upstreams[index];
        ++runner.running;
        auto const cached =
            std::find(runner.cache.begin(), runner.cache.end(), begun.object);
        bool const is_cold = cached == runner.cache.end();
        if (!is_cold)
        {
            runner.cache.erase(cached);
        }
        runner.cache.push_front(begun.object);
        if (runner.cache.size() > this->settings.cached)
        {
            runner.cache.pop_back();
        }
        this->result.cold += is_cold ? 1 : 0;
        double const variation = 0.8 + 0.4 * this->random.unit();
        duration const run = scaled(this->settings.cold_run,
                                    variation * (is_cold ? 1.0 : warm_share));
        this->ends.push({this->now + run, index, runner.incarnation, begun});
    }

    void finish_until(instant time)
    {
        while (!this->ends.empty() && this->ends.top().at <= time)
        {
            end_of_run const ended = this->ends.top();
            this->ends.pop();
            instant const later = this->now;
            this->now = ended.at;
            this->finish(ended);
            this->now = later;
        }
    }

    void finish(end_of_run const& ended)
    {
        host& from = this->hosts[ended.done.host];
        upstream& runner = this->upstreams[ended.upstream];
        upstream_of_host& known = from.upstreams[ended.upstream];
        --known.in_flight;
        if (ended.incarnation != runner.incarnation)
        {
            this->lose(ended.done);
            return;
        }
        --runner.running;
        ++this->result.served;
        duration const took =
            this->now - ended.done.arrived + ended.done.round_trip;
        bool const is_late = took > this->settings.target;
        this->result.late += is_late ? 1 : 0;
        if (is_late)
        {
            this->count_bad(from.zone);
        }
        if (from.zone != foreign && from.zone != runner.zone)
        {
            this->result.crossed_bytes += this->settings.response_bytes;
        }
        std::uint32_t const held =
            runner.running + static_cast<std::uint32_t>(runner.waiting.size());
        known.estimate.record_report(held, known.in_flight, this->now);
        from.mean.record_held_by_others(
            held > known.in_flight ? held - known.in_flight : 0);
        duration const run = std::max(
            took - ended.done.round_trip - ended.done.expected_wait, took / 3);
        duration const usual = scaled(run, 1 / ended.done.run_factor);
        known.estimate.record_run(usual, from.mean.run_time(), this->now);
        known.objects.record(ended.done.object);
        from.mean.record_run(scaled(
            usual, 1 / std::max(1.0, known.estimate.slowdown(this->now))));
        if (!runner.waiting.empty())
        {
            work const next = runner.waiting.front();
            runner.waiting.pop_front();
            this->start(ended.upstream, next);
        }
    }

    object_homes_fleet_settings settings;
    generator random;
    std::vector<upstream> upstreams;
    std::vector<host> hosts;
    std::vector<double> popularity;
    std::vector<placement_candidate> candidates;
    std::priority_queue<end_of_run> ends;
    object_homes_result result;
    instant now = instant{} + std::chrono::hours(1);
    std::uint64_t scope_changes = 0;
};

} // namespace bilberrylead::policy

#endif
