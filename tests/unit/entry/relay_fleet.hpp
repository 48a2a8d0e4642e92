#ifndef BILBERRYLEAD_TESTS_UNIT_ENTRY_RELAY_FLEET_HPP
#define BILBERRYLEAD_TESTS_UNIT_ENTRY_RELAY_FLEET_HPP

#include "tests/unit/entry/routed_entry.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bilberrylead::entry
{

/// How connections of a host that is cut off from all upstreams fail.
enum class cut_form
{
    refused,
    hanging,
};

/// Entry hosts that reach each other, and upstreams in three zones that some of
/// the hosts may be cut off from. Time advances only in `run_for`.
class relay_fleet
{
public:
    /// First tries that arrived at hosts of one kind.
    struct tally
    {
        std::size_t sent = 0;
        std::size_t served = 0;
    };

    explicit relay_fleet(std::size_t hosts)
    {
        this->content = std::make_shared<config::configuration>();
        config::service service;
        service.id = service_id("read");
        this->content->services.push_back(service);
        this->content->request_routes = {
            make_route("/r/", true, {{service.id, 1}})};
        for (std::size_t host = 0; host < hosts; ++host)
        {
            entry_settings settings = routed_entry::make_settings();
            settings.self = host_id("e" + std::to_string(host));
            settings.places = {{zone_id("z0"), region_id("r1"), {}},
                               {zone_id("z1"), region_id("r1"), {}},
                               {zone_id("z2"), region_id("r1"), {}}};
            this->hosts.push_back(std::make_unique<entry_reducer>(
                settings, process_seed(settings.self, 1)));
            this->deliver(host, configuration_received{1, this->content});
            this->deliver(host, upstreams_listed{this->listing()});
            this->deliver(host, entry_hosts_counted{hosts, hosts});
        }
    }

    /// Cuts the hosts below `count` off from all upstreams.
    void cut(std::size_t count, cut_form form)
    {
        this->cut_hosts = count;
        this->form = form;
    }

    void heal()
    {
        this->cut_hosts = 0;
    }

    /// Forgets what was counted so far.
    void start_counting()
    {
        this->at_cut_hosts = {};
        this->at_others = {};
        this->relayed = 0;
    }

    /// Sends `rate` requests a second to each host for that time.
    void run_for(duration time, int rate = 5)
    {
        instant const end = this->now + time;
        while (this->now < end)
        {
            this->now += step;
            while (!this->pending.empty() &&
                   this->pending.begin()->first <= this->now)
            {
                this->pending.extract(this->pending.begin()).mapped()();
            }
            for (std::size_t host = 0; host < this->hosts.size(); ++host)
            {
                this->deliver(host, tick{});
                // Hosts receive their requests at different moments.
                if ((this->steps + host) % (1s / step / rate) == 0)
                {
                    this->arrive(host);
                }
            }
            if (++this->steps % (500ms / step) == 0)
            {
                this->send_relay_hosts();
            }
        }
    }

    tally at_cut_hosts;
    tally at_others;
    std::size_t relayed = 0;

private:
    static constexpr duration step = 10ms;
    static constexpr std::size_t upstreams = 18;
    static constexpr std::size_t max_relay_hosts = 8;

    struct origin
    {
        std::size_t host = 0;
        request_number number{};
    };

    std::shared_ptr<std::vector<discovery::listed_upstream>> listing() const
    {
        auto all = std::make_shared<std::vector<discovery::listed_upstream>>();
        for (std::size_t number = 0; number < upstreams; ++number)
        {
            discovery::listed_upstream entry;
            entry.upstream.id = upstream_id("u" + std::to_string(number));
            entry.upstream.service = service_id("read");
            entry.upstream.zone = zone_id("z" + std::to_string(number % 3));
            entry.upstream.address = {"127.0.0.1", 9};
            entry.upstream.slots = 100;
            all->push_back(entry);
        }
        return all;
    }

    void arrive(std::size_t host)
    {
        request_arrived arrival;
        arrival.request = static_cast<request_number>(++this->last_number);
        arrival.host = "a.example";
        arrival.path = "/r/x";
        arrival.time_left = 2s;
        ++this->tally_of(host).sent;
        this->deliver(host, arrival);
    }

    tally& tally_of(std::size_t host)
    {
        return host < this->cut_hosts ? this->at_cut_hosts : this->at_others;
    }

    /// What a control host tells those that have lost their upstreams.
    void send_relay_hosts()
    {
        for (std::size_t const host : this->without_upstreams)
        {
            relay_hosts_received list;
            for (std::size_t offset = 1; offset < this->hosts.size(); ++offset)
            {
                std::size_t const other = (host + offset) % this->hosts.size();
                if (!this->without_upstreams.contains(other) &&
                    list.hosts.size() < max_relay_hosts)
                {
                    list.hosts.push_back(
                        {host_id("e" + std::to_string(other)),
                         {"127.0.0.1", static_cast<std::uint16_t>(other)},
                         region_id("r1")});
                }
            }
            this->schedule(20ms,
                           [this, host, list]
                           {
                               this->deliver(host, list);
                           });
        }
    }

    void schedule(duration wait, std::function<void()> action)
    {
        this->pending.emplace(this->now + wait, std::move(action));
    }

    void deliver_later(duration wait, std::size_t host, event event)
    {
        this->schedule(wait,
                       [this, host, event = std::move(event)]
                       {
                           this->deliver(host, event);
                       });
    }

    void deliver(std::size_t host, event const& event)
    {
        for (effect const& each : this->hosts[host]->reduce(event, this->now))
        {
            std::visit(
                [this, host](auto const& effect)
                {
                    this->carry_out(host, effect);
                },
                each);
        }
    }

    template <class Other>
    void carry_out(std::size_t, Other const&)
    {
    }

    void carry_out(std::size_t host, upstream_contact_changed const& changed)
    {
        if (changed.lost)
        {
            this->without_upstreams.insert(host);
            this->send_relay_hosts();
            return;
        }
        this->without_upstreams.erase(host);
    }

    duration time_to_failure() const
    {
        return this->form == cut_form::refused ? duration(1ms) : duration(1s);
    }

    void carry_out(std::size_t host, probe_upstream const& wanted)
    {
        if (host < this->cut_hosts)
        {
            this->deliver_later(
                this->time_to_failure(), host,
                upstream_probed{wanted.upstream,
                                this->form == cut_form::refused
                                    ? probe_outcome::refused
                                    : probe_outcome::no_response});
            return;
        }
        this->deliver_later(
            1ms, host,
            upstream_probed{wanted.upstream, probe_outcome::accepted});
    }

    void carry_out(std::size_t host, start_upstream const& order)
    {
        if (order.to_entry_host)
        {
            ++this->relayed;
            request_arrived arrival;
            arrival.request = static_cast<request_number>(++this->last_number);
            arrival.host = "a.example";
            arrival.path = "/r/x";
            arrival.time_left = order.deadline - this->now;
            arrival.is_relayed = true;
            this->origins[arrival.request] = {host, order.request};
            this->deliver_later(2ms, order.address.port, arrival);
            return;
        }
        if (host < this->cut_hosts)
        {
            this->deliver_later(
                this->time_to_failure(), host,
                upstream_failed{order.request, exchange_phase::not_sent,
                                exchange_fault::connect_failed});
            return;
        }
        this->deliver_later(1ms, host, upstream_connected{order.upstream});
        upstream_head_received head;
        head.request = order.request;
        head.status = 200;
        this->deliver_later(100ms, host, head);
        this->deliver_later(101ms, host,
                            upstream_answer_finished{order.request, {}});
    }

    /// A request that was passed on is answered where it came from.
    void answer_origin(request_number number, std::uint16_t status)
    {
        origin const asked = this->origins.at(number);
        upstream_head_received head;
        head.request = asked.number;
        head.status = status;
        this->deliver_later(2ms, asked.host, head);
        this->deliver_later(3ms, asked.host,
                            upstream_answer_finished{asked.number, {}});
    }

    void carry_out(std::size_t host, request_ended const& end)
    {
        bool const is_served =
            end.outcome == request_outcome::answered && end.status == 200;
        if (this->origins.contains(end.request))
        {
            this->answer_origin(end.request, is_served ? 200 : 503);
            return;
        }
        this->tally_of(host).served += is_served ? 1U : 0U;
    }

    std::shared_ptr<config::configuration> content;
    std::vector<std::unique_ptr<entry_reducer>> hosts;
    std::multimap<instant, std::function<void()>> pending;
    std::map<request_number, origin> origins;
    std::set<std::size_t> without_upstreams;
    std::size_t cut_hosts = 0;
    cut_form form = cut_form::refused;
    instant now = instant{} + 1h;
    std::uint64_t last_number = 0;
    std::size_t steps = 0;
};

} // namespace bilberrylead::entry

#endif
