#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_DIRECT_MODEL_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_DIRECT_MODEL_HPP

#include "bilberrylead/policy/upstream_choice.hpp"
#include "steering.hpp"
#include "tally.hpp"
#include "timeline.hpp"
#include "upstream_model.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace policy_bench
{

/// Entry hosts that each choose an upstream by what they see alone; the
/// wait is in the upstreams' queues.
template <bilberrylead::policy::upstream_choice Choice>
class direct_model
{
public:
    /// Makes a model; with `own_region_only` a host sees only the upstreams
    /// of its region.
    direct_model(profile const& where, scenario const& what,
                 std::vector<arrival> const& arrivals, steering_kind steered,
                 bool own_region_only, Choice const& choice = Choice())
        : where(where), what(what), arrivals(arrivals),
          steer(steered, where, what), upstream_zones(where.upstream_zones()),
          host_zones(where.entry_host_zones()), random(what.seed + 1),
          result(arrivals, what.deadline), places(arrivals.size())
    {
        for (std::uint32_t index = 0; index < upstream_zones.size(); ++index)
        {
            this->upstreams.emplace_back(where.machines[index], where.slots,
                                         what);
        }
        for (std::uint32_t const zone : this->host_zones)
        {
            this->sets.push_back(this->view_from(zone, own_region_only));
            this->choices.push_back(choice);
        }
    }

    /// Plays all arrivals to their end.
    summary run()
    {
        this->events.add(this->arrivals.front().at, {kind::arrive, 0});
        this->events.add({}, {kind::report, 0});
        this->events.add(this->arrivals[this->arrivals.size() / 3].at,
                         {kind::restart, 0});
        while (!this->events.empty())
        {
            event const next = this->events.next();
            this->handle(next);
        }
        return this->result.summarize();
    }

private:
    enum class kind
    {
        arrive,
        reach,
        finish,
        answer,
        report,
        restart,
    };
    struct event
    {
        kind what = kind::arrive;
        std::uint32_t request = 0;
    };
    struct place
    {
        std::uint32_t host = 0;
        std::uint32_t upstream = 0;
    };

    static constexpr bilberrylead::duration report_interval =
        std::chrono::milliseconds(100);

    bilberrylead::policy::upstream_set view_from(std::uint32_t zone,
                                                 bool own_region_only) const
    {
        bilberrylead::policy::upstream_set set;
        for (std::uint32_t const upstream_zone : this->upstream_zones)
        {
            bilberrylead::policy::upstream_view view;
            view.slots = this->where.slots;
            view.usable_slots = this->where.slots;
            view.one_way_latency = this->where.distance(zone, upstream_zone);
            view.allowed =
                !own_region_only || this->where.region_of(zone) ==
                                        this->where.region_of(upstream_zone);
            set.upstreams.push_back(view);
        }
        return set;
    }

    void handle(event const& next)
    {
        switch (next.what)
        {
        case kind::arrive:
            this->arrive(next.request);
            break;
        case kind::reach:
            if (this->upstream_of(next.request).take(next.request))
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
        case kind::report:
            this->report();
            break;
        case kind::restart:
            for (upstream_model& upstream : this->upstreams)
            {
                upstream.restart();
            }
            break;
        }
    }

    upstream_model& upstream_of(std::uint32_t request)
    {
        return this->upstreams[this->places[request].upstream];
    }

    bilberrylead::duration distance(std::uint32_t request) const
    {
        place const& at = this->places[request];
        return this->where.distance(this->host_zones[at.host],
                                    this->upstream_zones[at.upstream]);
    }

    void arrive(std::uint32_t request)
    {
        if (request + 1 < this->arrivals.size())
        {
            this->events.add(this->arrivals[request + 1].at,
                             {kind::arrive, request + 1});
        }
        bilberrylead::instant const now = this->events.now();
        std::uint32_t const host =
            this->steer.entry_host(this->arrivals[request]);
        std::size_t const upstream =
            *this->choices[host].choose(this->sets[host], now, this->random);
        ++this->sets[host].upstreams[upstream].in_flight;
        this->places[request] = {host, static_cast<std::uint32_t>(upstream)};
        this->events.add(now + this->distance(request), {kind::reach, request});
    }

    void start(std::uint32_t request)
    {
        bilberrylead::duration const length =
            this->upstream_of(request).run_time(this->arrivals[request].work);
        this->events.add(this->events.now() + length, {kind::finish, request});
    }

    void finish(std::uint32_t request)
    {
        std::optional<std::uint32_t> const next =
            this->upstream_of(request).finish();
        if (next.has_value())
        {
            this->start(*next);
        }
        this->events.add(this->events.now() + this->distance(request),
                         {kind::answer, request});
    }

    void answer(std::uint32_t request)
    {
        place const& at = this->places[request];
        arrival const& one = this->arrivals[request];
        bilberrylead::policy::upstream_view& view =
            this->sets[at.host].upstreams[at.upstream];
        --view.in_flight;
        if (one.length == bilberrylead::config::work_length::brief)
        {
            // Learns the time from sending to answer, without the links.
            bilberrylead::duration const seen =
                this->events.now() - one.at - 2 * this->distance(request);
            view.service_time += (seen - view.service_time) / 10;
        }
        this->result.answered(request, this->events.now(),
                              this->steer.extra(one, at.host));
    }

    void report()
    {
        // Reports are as old as the interval when they are used last.
        for (bilberrylead::policy::upstream_set& set : this->sets)
        {
            for (std::size_t index = 0; index < set.upstreams.size(); ++index)
            {
                bilberrylead::policy::upstream_view& view =
                    set.upstreams[index];
                std::uint32_t const held = this->upstreams[index].reported();
                view.in_use_by_others = held - std::min(held, view.in_flight);
                view.report_age = report_interval / 2;
            }
        }
        if (this->events.now() < this->arrivals.back().at)
        {
            this->events.add(this->events.now() + report_interval,
                             {kind::report, 0});
        }
    }

    profile const& where;
    scenario const& what;
    std::vector<arrival> const& arrivals;
    steering steer;
    std::vector<std::uint32_t> upstream_zones;
    std::vector<std::uint32_t> host_zones;
    bilberrylead::policy::generator random;
    tally result;
    std::vector<place> places;
    std::vector<upstream_model> upstreams;
    std::vector<bilberrylead::policy::upstream_set> sets;
    std::vector<Choice> choices;
    timeline<event> events;
};

} // namespace policy_bench

#endif
