#ifndef BILBERRYLEAD_TESTS_UNIT_ENTRY_ENTRY_FIXTURE_HPP
#define BILBERRYLEAD_TESTS_UNIT_ENTRY_ENTRY_FIXTURE_HPP

#include "bilberrylead/core/process_seed.hpp"
#include "bilberrylead/entry/entry_reducer.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace bilberrylead::entry
{

using namespace std::chrono_literals;

/// Configuration with the services "lookup" (idempotent), "grant" (guarded) and
/// "post" (neither idempotent nor guarded), each on upstreams a and b with one
/// slot, in zone z1.
inline std::shared_ptr<config::configuration> make_configuration()
{
    std::shared_ptr<config::configuration> made =
        std::make_shared<config::configuration>();
    for (std::string const name : {"lookup", "grant", "post"})
    {
        config::service service;
        service.id = service_id(name);
        service.idempotent = name == "lookup";
        service.guarded = name == "grant";
        made->services.push_back(service);
        for (std::string const letter : {"a", "b"})
        {
            config::upstream upstream;
            upstream.id = upstream_id(fmt::format("{}-{}", name, letter));
            upstream.service = service.id;
            upstream.zone = zone_id("z1");
            upstream.address = {"127.0.0.1", 9};
            upstream.slots = 1;
            made->upstreams.push_back(upstream);
        }
    }
    made->places.push_back({zone_id("z1"), region_id("r1"), {}});
    config::entry_host self;
    self.id = host_id("e1");
    self.zone = zone_id("z1");
    self.address = {"127.0.0.1", 8};
    made->entry_hosts.push_back(self);
    return made;
}

/// First effect of that type; null if there is none.
template <class Effect>
Effect const* find_effect(effects const& decided)
{
    for (effect const& each : decided)
    {
        if (Effect const* found = std::get_if<Effect>(&each))
        {
            return found;
        }
    }
    return nullptr;
}

/// Seed of the single process that most tests use.
inline process_seed const test_seed(host_id("e1"), 1);

/// Drives one entry_reducer and inspects its effects.
struct driven_entry
{
    driven_entry()
    {
        this->last_effects = this->reducer.reduce(
            configuration_received{1, make_configuration()}, this->now);
    }

    static entry_settings make_settings()
    {
        entry_settings settings;
        settings.self = host_id("e1");
        settings.zone = zone_id("z1");
        return settings;
    }

    effects const& reduce(event const& event)
    {
        this->last_effects = this->reducer.reduce(event, this->now);
        return this->last_effects;
    }

    effects const& arrive(std::uint64_t number, std::string const& service,
                          std::string const& key = {})
    {
        request_arrived arrival;
        arrival.request = static_cast<request_number>(number);
        arrival.service = service_id(service);
        arrival.caller = caller_id("studio");
        arrival.caller_address = "127.0.0.1";
        arrival.idempotency_key = key;
        arrival.repeated = this->repeated;
        return this->reduce(arrival);
    }

    effects const& advance(duration time)
    {
        this->now += time;
        return this->reduce(tick{});
    }

    /// Advances beyond the pause before a retry.
    effects const& advance_past_pause()
    {
        return this->advance(100ms);
    }

    effects const& fail(std::uint64_t number, exchange_phase phase)
    {
        return this->reduce(upstream_failed{static_cast<request_number>(number),
                                            phase,
                                            exchange_fault::connection_lost});
    }

    /// Number of effects of the last event on requests and hosts: all but
    /// `request_ended`, which is only logged.
    std::size_t action_count() const
    {
        return static_cast<std::size_t>(std::count_if(
            this->last_effects.begin(), this->last_effects.end(),
            [](effect const& each)
            {
                return !std::holds_alternative<request_ended>(each);
            }));
    }

    template <class Effect>
    Effect const* find() const
    {
        return find_effect<Effect>(this->last_effects);
    }

    template <class Effect>
    bool has_effect() const
    {
        return this->find<Effect>() != nullptr;
    }

    instant now = instant{} + 1h;
    entry_reducer reducer{make_settings(), test_seed};
    effects last_effects;
    /// Value of `request_arrived::repeated` in the next arrivals.
    bool repeated = false;
};

} // namespace bilberrylead::entry

#endif
