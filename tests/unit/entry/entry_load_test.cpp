#include "tests/unit/entry/entry_fixture.hpp"

#include <criterion/criterion.h>

#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// Entry host whose lookups take 20 ms each on two slots, advanced in steps of
/// 10 ms.
struct loaded_entry : driven_entry
{
    void send(std::string const& caller)
    {
        request_arrived arrival;
        arrival.request = static_cast<request_number>(++this->last);
        arrival.service = service_id("lookup");
        arrival.caller = caller_id(caller);
        arrival.caller_address = "127.0.0.1";
        this->callers.push_back(caller);
        this->record_effects(this->reduce(arrival));
    }

    void step()
    {
        this->record_effects(this->advance(10ms));
        std::vector<started> const in_progress = std::move(this->running);
        this->running.clear();
        for (started const& each : in_progress)
        {
            if (this->now - each.at < 20ms)
            {
                this->running.push_back(each);
                continue;
            }
            upstream_head_received head;
            head.request = each.request;
            this->reduce(head);
            ++this->served[this->caller_of(each.request)];
            this->record_effects(this->reduce(
                upstream_answer_finished{each.request, std::nullopt}));
        }
    }

    std::string const& caller_of(request_number request) const
    {
        return this->callers[static_cast<std::size_t>(request) - 1];
    }

    void record_effects(effects const& decided)
    {
        for (effect const& each : decided)
        {
            if (start_upstream const* sent = std::get_if<start_upstream>(&each))
            {
                this->running.push_back({sent->request, this->now});
            }
            if (answer_not_run const* not_run =
                    std::get_if<answer_not_run>(&each))
            {
                ++this->refused[this->caller_of(not_run->request)];
                this->min_retry_after =
                    std::min(this->min_retry_after, not_run->retry_after);
            }
            cr_assert_not(std::holds_alternative<answer_unknown>(each));
        }
    }

    struct started
    {
        request_number request{};
        instant at{};
    };

    std::uint64_t last = 0;
    std::vector<std::string> callers;
    std::vector<started> running;
    std::map<std::string, int> served;
    std::map<std::string, int> refused;
    duration min_retry_after = 1h;
};

} // namespace

Test(entry_load, burst_is_served_in_part_and_the_rest_is_refused_at_once)
{
    // 200 lookups arrive at once for two slots of 20 ms. Those that would wait
    // longer than half a second are refused at once, with a retry time; none of
    // the others misses its deadline.
    loaded_entry entry;
    for (int each = 0; each < 200; ++each)
    {
        entry.send("caller-" + std::to_string(each));
    }
    int const refused_at_once = [&entry]
    {
        int count = 0;
        for (auto const& [caller, times] : entry.refused)
        {
            count += times;
        }
        return count;
    }();
    cr_assert_gt(refused_at_once, 100);
    cr_assert_gt(entry.min_retry_after, duration::zero());
    for (int each = 0; each < 300; ++each)
    {
        entry.step();
    }
    cr_assert_eq(static_cast<int>(entry.served.size()), 200 - refused_at_once);
    cr_assert_eq(entry.reducer.requests_in_progress(), 0);
}

Test(entry_load, heavy_caller_does_not_starve_other_callers)
{
    // One caller, "bureau", sends 20 lookups for each that nine others send.
    // The slots cannot serve them all; each of the nine must still get nearly
    // all of its lookups served.
    loaded_entry entry;
    int sent_by_each = 0;
    for (int round = 0; round < 100; ++round)
    {
        for (int each = 0; each < 20; ++each)
        {
            entry.send("bureau");
        }
        if (round % 20 == 0)
        {
            ++sent_by_each;
            for (int other = 0; other < 9; ++other)
            {
                entry.send("other-" + std::to_string(other));
            }
        }
        entry.step();
    }
    for (int each = 0; each < 300; ++each)
    {
        entry.step();
    }
    int served_of_others = 0;
    for (int other = 0; other < 9; ++other)
    {
        served_of_others += entry.served["other-" + std::to_string(other)];
    }
    cr_assert_geq(served_of_others, 9 * sent_by_each * 9 / 10, "%d of %d",
                  served_of_others, 9 * sent_by_each);
    cr_assert_gt(entry.refused["bureau"], 0);
}

Test(entry_load, failing_upstreams_do_not_multiply_the_load)
{
    // Every attempt of every lookup fails. Without a budget each lookup would
    // be sent three times; with it, retries stay near a tenth of the requests.
    driven_entry entry;
    int sent = 0;
    constexpr int requests = 200;
    for (std::uint64_t each = 1; each <= requests; ++each)
    {
        entry.arrive(each, "lookup");
        while (entry.has_effect<start_upstream>())
        {
            ++sent;
            entry.fail(each, exchange_phase::maybe_sent);
            entry.advance_past_pause();
        }
        entry.advance(100ms);
    }
    cr_assert_leq(sent, requests + requests / 10);
}

Test(entry_load, caller_in_a_block_reaches_only_what_its_selector_says)
{
    driven_entry entry;
    std::shared_ptr<config::configuration> const made = make_configuration();
    made->callers.push_back(
        {"10.1.0.0/16", zone_id("z1"), {{"tier", "studio"}}});
    config::selector rule;
    rule.name = "studios";
    rule.service = service_id("lookup");
    rule.callers = {{"tier", "studio"}};
    made->selectors.push_back(rule);
    entry.reduce(configuration_received{2, made});
    request_arrived arrival;
    arrival.service = service_id("lookup");
    arrival.request = static_cast<request_number>(1);
    arrival.caller_address = "10.1.2.3";
    entry.reduce(arrival);
    cr_assert(entry.has_effect<start_upstream>());
    arrival.request = static_cast<request_number>(2);
    arrival.caller_address = "10.2.2.3";
    entry.reduce(arrival);
    cr_assert(entry.find<answer_not_run>()->reason ==
              refusal_reason::no_upstream);
}
