#ifndef BILBERRYLEAD_TESTS_UNIT_ENTRY_ROUTED_ENTRY_HPP
#define BILBERRYLEAD_TESTS_UNIT_ENTRY_ROUTED_ENTRY_HPP

#include "tests/unit/entry/entry_fixture.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::entry
{

inline config::request_route
make_route(std::string const& prefix, bool idempotent,
           std::vector<config::route_target> targets)
{
    config::request_route route;
    route.host = "a.example";
    route.path_prefix = prefix;
    route.idempotent = idempotent;
    route.targets = std::move(targets);
    route.timeout = 1s;
    route.aim = 250ms;
    route.most_attempts = 2;
    return route;
}

/// Services "read" and "write" with three listed upstreams each, one of them in
/// zone z2, and one more for "read" in region r2. Routes /r/, /r/special/, /w/,
/// /split/ and /home/, and /fetch/ and /book/, whose requests name objects.
struct routed_entry
{
    routed_entry()
    {
        auto content = std::make_shared<config::configuration>();
        for (std::string const name : {"read", "write"})
        {
            config::service service;
            service.id = service_id(name);
            service.cold_time = 3s;
            service.cold_rate = 6000;
            content->services.push_back(service);
        }
        content->request_routes = {
            make_route("/r/", true, {{service_id("read"), 1}}),
            make_route("/r/special/", true, {{service_id("write"), 1}}),
            make_route("/w/", false, {{service_id("write"), 1}}),
            make_route("/split/", true,
                       {{service_id("read"), 3}, {service_id("write"), 1}}),
            make_route("/home/", true, {{service_id("read"), 1}})};
        content->request_routes.back().regions = {region_id("r2")};
        for (std::string const prefix : {"/fetch/", "/book/"})
        {
            content->request_routes.push_back(
                make_route(prefix, true, {{service_id("read"), 1}}));
            content->request_routes.back().object_affinity = true;
        }
        this->configuration = content;
        this->reduce(configuration_received{1, content});
        this->reduce(upstreams_listed{this->listing()});
        this->reduce(entry_hosts_counted{4, 4});
    }

    static entry_settings make_settings()
    {
        entry_settings settings;
        settings.self = host_id("e1");
        settings.zone = zone_id("z1");
        settings.region = region_id("r1");
        settings.places = {{zone_id("z1"), region_id("r1"), {}},
                           {zone_id("z2"), region_id("r1"), {}},
                           {zone_id("z3"), region_id("r2"), {}}};
        settings.upstreams_are_listed = true;
        settings.waiting = config::waiting_place::upstream;
        settings.attempt_share = 1000;
        settings.retries.slack = 40;
        settings.stop_time = 6s;
        return settings;
    }

    std::shared_ptr<std::vector<discovery::listed_upstream>> listing() const
    {
        auto all = std::make_shared<std::vector<discovery::listed_upstream>>();
        for (std::string const service : {"read", "write"})
        {
            for (int number = 0; number < 3; ++number)
            {
                discovery::listed_upstream entry;
                entry.upstream.id =
                    upstream_id(fmt::format("{}-{}", service, number));
                entry.upstream.service = service_id(service);
                entry.upstream.zone = zone_id(number == 2 ? "z2" : "z1");
                entry.upstream.address = {"127.0.0.1", 9};
                all->push_back(entry);
            }
        }
        all->push_back(all->front());
        all->back().upstream.id = upstream_id("read-far");
        all->back().upstream.zone = zone_id("z3");
        return all;
    }

    effects const& reduce(event const& event)
    {
        this->last_effects = this->reducer.reduce(event, this->now);
        if (start_upstream const* const order = this->find<start_upstream>())
        {
            this->orders[order->request] = *order;
        }
        return this->last_effects;
    }

    effects const& arrive(std::uint64_t number, std::string const& path,
                          std::uint64_t object = 0)
    {
        request_arrived arrival;
        arrival.request = static_cast<request_number>(number);
        arrival.object = object;
        arrival.host = "a.example";
        arrival.path = path;
        return this->reduce(arrival);
    }

    /// Lists an upstream as that incarnation, the others as before.
    void restart(upstream_id const& id, discovery::list_position incarnation)
    {
        auto const all = this->listing();
        for (discovery::listed_upstream& each : *all)
        {
            if (each.upstream.id == id)
            {
                each.incarnation = incarnation;
            }
        }
        this->reduce(upstreams_listed{all});
    }

    template <class Effect>
    Effect const* find() const
    {
        return find_effect<Effect>(this->last_effects);
    }

    /// Upstream to which the last event sent a request; empty if none.
    std::string sent_to() const
    {
        start_upstream const* const order = this->find<start_upstream>();
        return order == nullptr ? std::string() : order->upstream.text();
    }

    effects const& answer(std::uint64_t number, std::uint16_t status,
                          bool not_run = false, bool misdirected = false)
    {
        upstream_signals_received signals = this->signals_of(number);
        signals.misdirected = misdirected;
        this->reduce(signals);
        upstream_head_received head;
        head.request = static_cast<request_number>(number);
        head.status = status;
        head.not_run = not_run;
        head.misdirected = misdirected;
        return this->reduce(head);
    }

    /// Signals with an answer to the request, from the upstream that it was
    /// sent to last.
    upstream_signals_received signals_of(std::uint64_t number) const
    {
        upstream_signals_received signals;
        signals.request = static_cast<request_number>(number);
        auto const order = this->orders.find(signals.request);
        if (order != this->orders.end())
        {
            signals.service = order->second.service;
            signals.upstream = order->second.upstream;
            signals.incarnation = order->second.incarnation;
        }
        return signals;
    }

    effects const& advance(duration time)
    {
        this->now += time;
        return this->reduce(tick{});
    }

    instant now = instant{} + 1h;
    entry_reducer reducer{make_settings(), test_seed};
    std::shared_ptr<config::configuration const> configuration;
    effects last_effects;
    /// The last order to send each request.
    std::map<request_number, start_upstream> orders;
};

} // namespace bilberrylead::entry

#endif
