#include "tests/unit/entry/routed_entry.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// An entry host that receives events drawn from a seed, among them requests on
/// a route that may run in region r2 only.
class random_history
{
public:
    explicit random_history(std::uint64_t seed) : random(seed)
    {
        this->entry.reduce(relay_hosts_received{
            {{host_id("e2"), {"127.0.0.1", 82}, region_id("r1")},
             {host_id("e3"), {"127.0.0.1", 83}, region_id("r2")}}});
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step)
        {
            this->take_step();
            this->check_orders();
        }
    }

    std::size_t checked = 0;
    std::size_t relayed = 0;
    std::vector<std::string> outside;

private:
    std::uint64_t draw(std::uint32_t below)
    {
        return this->random.below(below);
    }

    request_number any_request()
    {
        return static_cast<request_number>(
            1 + this->draw(static_cast<std::uint32_t>(this->last_number + 1)));
    }

    upstream_id any_upstream()
    {
        auto const all = this->entry.listing();
        return (*all)[this->draw(static_cast<std::uint32_t>(all->size()))]
            .upstream.id;
    }

    void take_step()
    {
        switch (this->draw(10))
        {
        case 0:
        case 1:
        case 2:
            this->arrive();
            return;
        case 3:
            this->fail();
            return;
        case 4:
            this->answer();
            return;
        case 5:
            this->list_some();
            return;
        case 6:
            this->entry.reduce(configuration_received{
                ++this->number, this->entry.configuration,
                this->draw(3) == 0 ? std::set<zone_id>{zone_id("z1")}
                                   : std::set<zone_id>{}});
            return;
        case 7:
            this->entry.reduce(upstream_probed{this->any_upstream(),
                                               this->draw(4) == 0
                                                   ? probe_outcome::accepted
                                                   : probe_outcome::refused});
            return;
        case 8:
            this->rest();
            return;
        default:
            this->entry.advance(10ms * static_cast<int>(this->draw(40)));
            return;
        }
    }

    void arrive()
    {
        request_arrived arrival;
        arrival.request = static_cast<request_number>(++this->last_number);
        arrival.host = "a.example";
        bool const is_bound = this->draw(2) == 0;
        arrival.path = is_bound ? "/home/x" : "/r/x";
        arrival.digest = this->draw(3);
        arrival.is_relayed = this->draw(4) == 0;
        if (arrival.is_relayed)
        {
            arrival.relayed_regions = {region_id("r2")};
        }
        if (is_bound || arrival.is_relayed)
        {
            this->bound.insert(arrival.request);
        }
        this->entry.reduce(arrival);
    }

    void fail()
    {
        constexpr exchange_fault faults[] = {
            exchange_fault::connection_lost, exchange_fault::no_response,
            exchange_fault::connect_failed, exchange_fault::withdrawn};
        request_number const number = this->any_request();
        // Nothing has been sent only as long as there is no answer.
        exchange_fault const fault =
            faults[this->draw(this->answered.contains(number) ? 2 : 4)];
        bool const not_sent = fault == exchange_fault::withdrawn ||
                              fault == exchange_fault::connect_failed;
        this->entry.reduce(upstream_failed{
            number,
            not_sent ? exchange_phase::not_sent : exchange_phase::maybe_sent,
            fault});
    }

    void answer()
    {
        request_number const number = this->any_request();
        this->answered.insert(number);
        this->entry.answer(static_cast<std::uint64_t>(number),
                           this->draw(3) == 0 ? 500 : 200, this->draw(2) == 0,
                           this->draw(5) == 0);
    }

    void list_some()
    {
        auto all = this->entry.listing();
        std::erase_if(*all,
                      [this](discovery::listed_upstream const&)
                      {
                          return this->draw(3) == 0;
                      });
        this->entry.reduce(upstreams_listed{all});
    }

    void rest()
    {
        upstream_signals_received signals = this->entry.signals_of(
            static_cast<std::uint64_t>(this->any_request()));
        if (signals.upstream.empty())
        {
            return;
        }
        signals.leaving = this->draw(3) == 0;
        if (this->draw(2) == 0)
        {
            signals.limit = 2.0;
        }
        else
        {
            signals.rest = 500ms;
        }
        this->entry.reduce(signals);
    }

    void check_orders()
    {
        for (effect const& each : this->entry.last_effects)
        {
            start_upstream const* const order =
                std::get_if<start_upstream>(&each);
            if (order == nullptr || !this->bound.contains(order->request))
            {
                continue;
            }
            ++this->checked;
            this->relayed += order->to_entry_host ? 1U : 0U;
            bool const is_inside = order->to_entry_host
                                       ? order->address.port == 83
                                       : order->upstream.text() == "read-far";
            if (!is_inside)
            {
                this->outside.push_back(order->upstream.text());
            }
        }
    }

    policy::generator random;
    routed_entry entry;
    std::set<request_number> bound;
    std::set<request_number> answered;
    std::uint64_t last_number = 0;
    bilberrylead::revision number = 1;
};

} // namespace

// Guards against requests that leave the regions of their route on any path:
// first and further tries, withdrawn and waiting requests, changed listings and
// configurations, rests, limits, and requests that are passed on.
Test(request_regions, bind_every_order_in_any_sequence_of_events)
{
    std::size_t checked = 0;
    std::size_t relayed = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        random_history history(seed);
        history.run(200);
        cr_expect(history.outside.empty(), "seed %zu: %zu orders outside",
                  static_cast<std::size_t>(seed), history.outside.size());
        checked += history.checked;
        relayed += history.relayed;
    }
    cr_expect_gt(checked, 1000U);
    cr_expect_gt(relayed, 100U);
}
