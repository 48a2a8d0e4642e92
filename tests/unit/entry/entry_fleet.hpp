#ifndef BILBERRYLEAD_TESTS_UNIT_ENTRY_ENTRY_FLEET_HPP
#define BILBERRYLEAD_TESTS_UNIT_ENTRY_ENTRY_FLEET_HPP

#include "tests/unit/entry/entry_fixture.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::entry
{

using listed_upstreams = std::vector<discovery::listed_upstream>;

/// Listed upstream in zone z1, region r1.
inline discovery::listed_upstream make_listed(std::string const& service,
                                              std::string const& id,
                                              std::uint32_t slots)
{
    discovery::listed_upstream listed;
    listed.upstream.id = upstream_id(id);
    listed.upstream.service = service_id(service);
    listed.upstream.zone = zone_id("z1");
    listed.upstream.address = {"127.0.0.1", 9};
    listed.upstream.slots = slots;
    return listed;
}

/// Configuration with one route for every path of a.example.
inline std::shared_ptr<config::configuration>
make_one_route(std::vector<config::route_target> targets)
{
    auto made = std::make_shared<config::configuration>();
    for (config::route_target const& target : targets)
    {
        config::service service;
        service.id = target.service;
        made->services.push_back(service);
    }
    config::request_route route;
    route.host = "a.example";
    route.path_prefix = "/";
    route.timeout = 1s;
    route.aim = 250ms;
    route.most_attempts = 1;
    route.targets = std::move(targets);
    made->request_routes = {route};
    return made;
}

inline request_arrived make_arrival(std::uint64_t number)
{
    request_arrived arrival;
    arrival.request = request_number{number};
    arrival.host = "a.example";
    arrival.path = "/x";
    return arrival;
}

/// Entry hosts with the same configuration and upstream list, each a separate
/// process without contact to the others.
class entry_fleet
{
public:
    entry_fleet(std::size_t hosts,
                std::shared_ptr<config::configuration const> accepted,
                std::shared_ptr<listed_upstreams const> upstreams,
                std::uint64_t incarnation)
        : content(std::move(accepted)), listing(std::move(upstreams)),
          processes(hosts)
    {
        this->start_all(incarnation);
    }

    /// Restarts every process.
    void start_all(std::uint64_t incarnation)
    {
        for (std::size_t host = 0; host < this->processes.size(); ++host)
        {
            entry_settings settings;
            settings.self = host_id(fmt::format("edge-{}", host));
            settings.zone = zone_id("z1");
            settings.region = region_id("r1");
            settings.places = {{zone_id("z1"), region_id("r1"), {}},
                               {zone_id("z2"), region_id("r2"), {}}};
            settings.upstreams_are_listed = true;
            settings.waiting = config::waiting_place::upstream;
            process_seed const seed(settings.self, incarnation);
            this->processes[host] =
                std::make_unique<entry_reducer>(settings, seed);
            this->reduce(host, configuration_received{1, this->content});
            this->reduce(host, upstreams_listed{this->listing});
        }
    }

    /// Passes a newer configuration to a host.
    void reconfigure(std::size_t host, bilberrylead::revision revision,
                     std::shared_ptr<config::configuration const> accepted)
    {
        this->reduce(host,
                     configuration_received{revision, std::move(accepted)});
    }

    /// Counters of a host.
    entry_counters const& counters(std::size_t host)
    {
        return this->processes[host]->counters();
    }

    std::size_t size() const
    {
        return this->processes.size();
    }

    /// Time of the next event.
    instant time() const
    {
        return this->now;
    }

    /// Sets the time of the next event; never earlier than the last one.
    void set_time(instant time)
    {
        this->now = time;
    }

    /// Passes an event to a host.
    effects reduce(std::size_t host, event const& event)
    {
        return this->processes[host]->reduce(event, this->now);
    }

    /// Passes a new request to a host.
    effects arrive(std::size_t host)
    {
        ++this->last_request;
        return this->reduce(host, make_arrival(this->last_request));
    }

    /// Passes a new request to a host, completes it at once, and returns the
    /// upstream it was sent to; empty if it was not sent.
    std::string sent_to(std::size_t host)
    {
        effects const decided = this->arrive(host);
        start_upstream const* const order =
            find_effect<start_upstream>(decided);
        if (order == nullptr)
        {
            return {};
        }
        upstream_head_received head;
        head.request = order->request;
        head.status = 200;
        this->reduce(host, head);
        this->reduce(host, upstream_answer_finished{order->request, {}});
        return order->upstream.text();
    }

private:
    std::shared_ptr<config::configuration const> content;
    std::shared_ptr<listed_upstreams const> listing;
    std::vector<std::unique_ptr<entry_reducer>> processes;
    instant now = instant{} + 1h;
    std::uint64_t last_request = 0;
};

} // namespace bilberrylead::entry

#endif
