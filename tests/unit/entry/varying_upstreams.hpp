#ifndef BILBERRYLEAD_TESTS_UNIT_ENTRY_VARYING_UPSTREAMS_HPP
#define BILBERRYLEAD_TESTS_UNIT_ENTRY_VARYING_UPSTREAMS_HPP

#include "tests/unit/entry/entry_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::entry
{

/// Settings of `varying_upstreams`.
struct varying_upstreams_settings
{
    std::size_t hosts = 10;
    std::size_t upstreams = 25;
    std::uint32_t slots = 9;
    /// Requests per second from each host, for each upstream.
    double rate_per_upstream = 2;
    /// Objects that requests are about; 0 if requests name none.
    std::uint32_t objects = 266;
    /// Objects that an upstream caches.
    std::size_t cached_objects = 33;
    /// Run time of a request whose object is not cached.
    duration cold_run = 920ms;
    /// Run time with a cached object, as a share of `cold_run`.
    double cached_share = 0.3;
    /// How often each upstream's speed is drawn again.
    duration period = 600ms;
    /// Share of the time in which an upstream is slow.
    double slow_share = 0.15;
    /// How many times as long work takes then.
    double slow_factor = 2.5;
    /// How many times as long work takes at upstream 0, at all times and not
    /// reported.
    double lasting_factor = 1;
    /// True if reports have the fourth figure.
    bool reports_run_time = true;
    duration target = 800ms;
    std::uint64_t seed = 1;
};

/// What happened to the requests of `varying_upstreams`.
struct varying_upstreams_result
{
    std::size_t requests = 0;
    std::size_t refused = 0;
    /// Answered after the latency target.
    std::size_t late = 0;
    /// Runs of objects that were not cached.
    std::size_t cold = 0;
    /// Requests that upstream 0 received.
    std::size_t at_first = 0;
    duration total_latency{};

    double share(std::size_t part) const
    {
        return static_cast<double>(part) / static_cast<double>(this->requests);
    }

    double mean_ms() const
    {
        return std::chrono::duration<double, std::milli>(this->total_latency)
                   .count() /
               static_cast<double>(this->requests - this->refused);
    }
};

/// Entry hosts whose upstreams cache objects and slow down for moments. Each
/// upstream serves its slots first come, first served, and reports its load
/// with the head of each answer. Time advances only in `run_for`.
class varying_upstreams
{
public:
    explicit varying_upstreams(varying_upstreams_settings const& given)
        : settings(given), random(given.seed), upstream_states(given.upstreams)
    {
        auto listing = std::make_shared<listed_upstreams>();
        for (std::size_t index = 0; index < given.upstreams; ++index)
        {
            listing->push_back(
                make_listed("read", fmt::format("u{}", index), given.slots));
            listing->back().upstream.address.port =
                static_cast<std::uint16_t>(index + 1);
        }
        std::shared_ptr<config::configuration> const content =
            make_one_route({{service_id("read"), 1}});
        config::request_route& route = content->request_routes.front();
        route.object_affinity = true;
        route.aim = given.target;
        route.timeout = 5s;
        this->fleet = std::make_unique<entry_fleet>(given.hosts, content,
                                                    listing, given.seed);
        for (std::size_t host = 0; host < given.hosts; ++host)
        {
            this->schedule_arrival(host);
        }
    }

    /// Advances the time.
    void run_for(duration time)
    {
        instant const end = this->fleet->time() + time;
        while (!this->pending.empty() && this->pending.begin()->first <= end)
        {
            auto const next = this->pending.extract(this->pending.begin());
            this->fleet->set_time(next.key());
            next.mapped()();
        }
        this->fleet->set_time(end);
    }

    /// Sets the lasting slowness of upstream 0.
    void set_lasting_factor(double factor)
    {
        this->settings.lasting_factor = factor;
    }

    /// Returns what happened since the last call.
    varying_upstreams_result take_result()
    {
        return std::exchange(this->result, {});
    }

    /// Digest of all upstreams that requests were sent to and all refusals, in
    /// order.
    std::uint64_t decisions() const
    {
        return this->decided;
    }

    /// Current factor of the work at an upstream, as reported.
    double factor_at(std::size_t upstream, instant at) const
    {
        std::int64_t const period =
            at.time_since_epoch() / this->settings.period;
        policy::generator draw((this->settings.seed << 40U) ^
                               (upstream << 32U) ^
                               static_cast<std::uint64_t>(period));
        return draw.unit() < this->settings.slow_share
                   ? this->settings.slow_factor
                   : 1.0;
    }

private:
    static constexpr duration one_way = 1ms;

    struct request
    {
        std::size_t host = 0;
        request_number number{};
        std::uint64_t object = 0;
        instant arrived_at{};
    };

    struct upstream_state
    {
        std::uint32_t running = 0;
        std::deque<request> waiting;
        /// Most recently used first.
        std::deque<std::uint64_t> cache;
    };

    void schedule(duration wait, std::function<void()> action)
    {
        this->pending.emplace(this->fleet->time() + wait, std::move(action));
    }

    void schedule_arrival(std::size_t host)
    {
        double const rate = this->settings.rate_per_upstream *
                            static_cast<double>(this->settings.upstreams);
        std::chrono::duration<double> const gap(
            -std::log(1.0 - this->random.unit()) / rate);
        this->schedule(std::chrono::duration_cast<duration>(gap),
                       [this, host]
                       {
                           this->arrive(host);
                           this->schedule_arrival(host);
                       });
    }

    void arrive(std::size_t host)
    {
        request_arrived arrival = make_arrival(++this->last_request);
        if (this->settings.objects > 0)
        {
            arrival.object = 1 + this->random.below(this->settings.objects);
        }
        ++this->result.requests;
        effects const decided = this->fleet->reduce(host, arrival);
        start_upstream const* const order =
            find_effect<start_upstream>(decided);
        std::size_t const index = order == nullptr
                                      ? this->settings.upstreams
                                      : order->address.port - std::size_t{1};
        this->decided = policy::generator(this->decided ^ index).next();
        if (order == nullptr)
        {
            ++this->result.refused;
            return;
        }
        this->result.at_first += index == 0 ? 1U : 0U;
        request const sent{host, arrival.request, arrival.object,
                           this->fleet->time()};
        this->schedule(one_way,
                       [this, index, sent]
                       {
                           this->upstream_states[index].waiting.push_back(sent);
                           this->start_runs(index);
                       });
    }

    void start_runs(std::size_t index)
    {
        upstream_state& upstream = this->upstream_states[index];
        while (upstream.running < this->settings.slots &&
               !upstream.waiting.empty())
        {
            request const started = upstream.waiting.front();
            upstream.waiting.pop_front();
            ++upstream.running;
            bool const is_cached = this->use_cached(upstream, started.object);
            this->result.cold += is_cached ? 0U : 1U;
            // Runs differ by up to a third, each by the same share whatever
            // was decided before, so that two models can be compared.
            policy::generator draw(static_cast<std::uint64_t>(started.number) ^
                                   (this->settings.seed << 32U));
            double const work =
                (is_cached ? this->settings.cached_share : 1.0) *
                (0.7 + 0.6 * draw.unit()) *
                (index == 0 ? this->settings.lasting_factor : 1);
            duration const time =
                this->run_time(index, scaled(this->settings.cold_run, work));
            this->schedule(time,
                           [this, index, started]
                           {
                               this->end_run(index, started);
                           });
        }
    }

    /// Moves the object to the front of the cache; true if it was there.
    bool use_cached(upstream_state& upstream, std::uint64_t object) const
    {
        if (object == 0)
        {
            return true;
        }
        auto const found =
            std::find(upstream.cache.begin(), upstream.cache.end(), object);
        bool const is_cached = found != upstream.cache.end();
        if (is_cached)
        {
            upstream.cache.erase(found);
        }
        upstream.cache.push_front(object);
        if (upstream.cache.size() > this->settings.cached_objects)
        {
            upstream.cache.pop_back();
        }
        return is_cached;
    }

    /// Time that the work takes from now on, as the speed changes.
    duration run_time(std::size_t index, duration work) const
    {
        instant at = this->fleet->time();
        while (work > duration::zero())
        {
            double const factor = this->factor_at(index, at);
            duration const left = this->settings.period -
                                  at.time_since_epoch() % this->settings.period;
            duration const needed = scaled(work, factor);
            if (needed <= left)
            {
                at += needed;
                break;
            }
            at += left;
            work -= scaled(left, 1 / factor);
        }
        return at - this->fleet->time();
    }

    void end_run(std::size_t index, request const& ended)
    {
        upstream_state& upstream = this->upstream_states[index];
        --upstream.running;
        upstream_head_received head;
        head.request = ended.number;
        head.status = 200;
        head.load = upstream_load{
            upstream.running,
            static_cast<std::uint32_t>(upstream.waiting.size()), std::nullopt};
        if (this->settings.reports_run_time)
        {
            head.load->run_time_percent = static_cast<std::uint32_t>(
                100 * this->factor_at(index, this->fleet->time()));
        }
        this->schedule(one_way,
                       [this, ended, head]
                       {
                           this->deliver_answer(ended, head);
                       });
        this->start_runs(index);
    }

    void deliver_answer(request const& ended,
                        upstream_head_received const& head)
    {
        duration const took = this->fleet->time() - ended.arrived_at;
        this->result.total_latency += took;
        this->result.late += took > this->settings.target ? 1U : 0U;
        this->fleet->reduce(ended.host, head);
        this->fleet->reduce(ended.host,
                            upstream_answer_finished{ended.number, {}});
    }

    varying_upstreams_settings settings;
    policy::generator random;
    std::vector<upstream_state> upstream_states;
    std::unique_ptr<entry_fleet> fleet;
    std::multimap<instant, std::function<void()>> pending;
    std::uint64_t last_request = 0;
    std::uint64_t decided = 0;
    varying_upstreams_result result;
};

} // namespace bilberrylead::entry

#endif
