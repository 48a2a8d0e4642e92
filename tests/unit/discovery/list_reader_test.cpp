#include "bilberrylead/discovery/list_reader.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using discovery::list_page;
using discovery::list_reader;
using discovery::list_reader_settings;
using discovery::page_call;

namespace
{

instant const start = instant{} + 1h;

list_page page(std::string const& id, std::string const& next)
{
    list_page made;
    made.upstreams.emplace_back();
    made.upstreams.back().upstream.id = upstream_id(id);
    made.next = next;
    return made;
}

/// Settings of a list that is read by two zones.
list_reader_settings two_zones()
{
    list_reader_settings settings;
    settings.calls_per_second = 1000;
    settings.zones = {zone_id("z0"), zone_id("z1")};
    settings.zone_split_threshold = 1;
    return settings;
}

std::vector<page_call> due_calls(list_reader& reader, instant now)
{
    std::vector<page_call> calls;
    while (std::optional<page_call> const call = reader.next_call(now))
    {
        calls.push_back(*call);
    }
    return calls;
}

/// Answers a call of a reading by zone with a page of one upstream.
void answer(list_reader& reader, page_call const& call, std::string const& next,
            instant now)
{
    list_page one = page("u", next);
    one.upstreams.back().upstream.zone = call.zone;
    reader.page_received(call.number, one, now);
}

} // namespace

Test(list_reader, pages_read_in_sequence_make_the_complete_list)
{
    list_reader reader({});
    reader.set_active(true, start);
    std::optional<page_call> const first = reader.next_call(start);
    cr_assert(first.has_value());
    cr_expect(first->page.empty());
    cr_expect_not(reader.page_received(first->number, page("a", "p2"), start)
                      .has_value());
    cr_expect_not(reader.next_call(start).has_value(), "faster than allowed");
    std::optional<page_call> const second = reader.next_call(start + 500ms);
    cr_assert(second.has_value());
    cr_expect(second->page == "p2");
    auto const upstreams =
        reader.page_received(second->number, page("b", ""), start + 510ms);
    cr_assert(upstreams.has_value());
    cr_expect_eq(upstreams->size(), 2U);
}

// The platform limits the calls of all hosts together. Two hosts may read at
// the same time while the leader changes; together they must stay within the
// limit.
Test(list_reader, calls_stay_below_the_rate_limit)
{
    list_reader_settings settings;
    settings.calls_per_second = 5;
    list_reader reader(settings);
    reader.set_active(true, start);
    unsigned calls = 0;
    for (duration passed{}; passed < 10s; passed += 10ms)
    {
        std::optional<page_call> const call = reader.next_call(start + passed);
        if (call.has_value())
        {
            ++calls;
            reader.page_received(call->number, page("a", "next"),
                                 start + passed);
        }
    }
    cr_expect_leq(calls, 21U);
    cr_expect_geq(calls, 15U);
}

// A page in the middle of the list fails. Half a list would take the upstreams
// of the other half out of use.
Test(list_reader, reading_after_a_failed_page_restarts_at_the_first_page)
{
    list_reader reader({});
    reader.set_active(true, start);
    page_call const first = *reader.next_call(start);
    reader.page_received(first.number, page("a", "p2"), start);
    page_call const second = *reader.next_call(start + 400ms);
    reader.call_failed(second.number, start + 400ms);
    cr_expect_not(reader.next_call(start + 500ms).has_value());
    std::optional<page_call> const again = reader.next_call(start + 700ms);
    cr_assert(again.has_value());
    cr_expect(again->page.empty());
    auto const upstreams =
        reader.page_received(again->number, page("a", ""), start + 700ms);
    cr_assert(upstreams.has_value());
    cr_expect_eq(upstreams->size(), 1U);
}

// A call times out, and its answer arrives after the next call was made. The
// late answer must be ignored, since its reading has been restarted.
Test(list_reader, late_answer_to_a_timed_out_call_is_ignored)
{
    list_reader reader({});
    reader.set_active(true, start);
    page_call const lost = *reader.next_call(start);
    cr_expect_not(reader.next_call(start + 1100ms).has_value());
    std::optional<page_call> const again = reader.next_call(start + 1400ms);
    cr_assert(again.has_value());
    cr_expect_not(
        reader.page_received(lost.number, page("old", ""), start + 1400ms)
            .has_value());
}

Test(list_reader, inactive_reader_makes_no_call)
{
    list_reader reader({});
    cr_expect_not(reader.next_call(start).has_value());
    reader.set_active(true, start);
    page_call const open = *reader.next_call(start);
    reader.set_active(false, start);
    cr_expect_not(
        reader.page_received(open.number, page("a", ""), start).has_value());
    cr_expect_not(reader.next_call(start + 10s).has_value());
}

// Guards against a leaving upstream that gets requests for seconds. The list
// has 16 pages and each answer takes 70 ms. If the interval were counted from
// the answer instead of from the previous call, a reading would take twice as
// long.
Test(list_reader, slow_answers_do_not_lengthen_the_call_interval)
{
    list_reader_settings settings;
    settings.calls_per_second = 50;
    list_reader reader(settings);
    reader.set_active(true, start);
    instant now = start;
    for (int number = 1; number <= 16; ++number)
    {
        std::optional<page_call> const call = reader.next_call(now);
        cr_assert(call.has_value());
        now += 70ms;
        reader.page_received(call->number, page("a", number < 16 ? "next" : ""),
                             now);
    }
    cr_assert(reader.last_read().has_value());
    cr_expect_eq(*reader.last_read() - start, 16 * 70ms);
}

// Guards against a leaving upstream that gets requests for too long. The list
// has 36 pages in nine zones, and each answer takes 70 ms and identifies the
// next page. Read in sequence, the last page arrives after 2.5 s, which is too
// late. Read by zone, the pages arrive as fast as the rate limit allows.
Test(list_reader, long_list_read_by_zone_is_bounded_by_the_rate_limit)
{
    constexpr int pages_a_zone = 4;
    list_reader_settings settings;
    settings.calls_per_second = 50;
    for (int number = 0; number < 9; ++number)
    {
        settings.zones.emplace_back("z" + std::to_string(number));
    }
    list_reader reader(settings);
    reader.expect(1485, true);
    reader.set_active(true, start);
    std::map<std::uint64_t, instant> answers;
    std::map<std::string, int> pages;
    std::map<std::uint64_t, std::string> zones;
    instant now = start;
    while (!reader.last_read().has_value() && now < start + 10s)
    {
        while (std::optional<page_call> const call = reader.next_call(now))
        {
            answers[call->number] = now + 70ms;
            zones[call->number] = call->zone.text();
        }
        now += 10ms;
        for (auto const& [number, when] : answers)
        {
            if (when == now)
            {
                int const read = ++pages[zones[number]];
                reader.page_received(
                    number, page("u", read < pages_a_zone ? "next" : ""), now);
            }
        }
    }
    cr_assert(reader.last_read().has_value());
    duration const took = *reader.last_read() - start;
    cr_expect_leq(took.count(), duration(1900ms).count());
    cr_expect_eq(pages.size(), 9U);
}

// A page of one zone fails. The pages of the other zones must be kept, and half
// a list must not take any upstream out of use.
Test(list_reader, failed_page_of_a_zone_restarts_only_that_zone)
{
    list_reader_settings settings;
    settings.calls_per_second = 1000;
    settings.zones = {zone_id("z0"), zone_id("z1")};
    list_reader reader(settings);
    reader.expect(settings.zone_split_threshold, true);
    reader.set_active(true, start);
    page_call const one = *reader.next_call(start);
    page_call const other = *reader.next_call(start + 10ms);
    cr_expect(one.zone == zone_id("z0"));
    cr_expect(other.zone == zone_id("z1"));
    cr_expect_not(reader.page_received(one.number, page("a", ""), start + 20ms)
                      .has_value());
    reader.call_failed(other.number, start + 30ms);
    cr_expect_not(reader.next_call(start + 100ms).has_value());
    std::optional<page_call> const again = reader.next_call(start + 300ms);
    cr_assert(again.has_value());
    cr_expect(again->zone == zone_id("z1"));
    auto const upstreams =
        reader.page_received(again->number, page("b", ""), start + 310ms);
    cr_assert(upstreams.has_value());
    cr_expect_eq(upstreams->size(), 2U);
}

// The list has upstreams in a zone that is not in the settings. If it were read
// by zone, they would be missing and their callers would be refused.
Test(list_reader, list_with_unknown_zones_is_not_read_by_zone)
{
    list_reader_settings settings;
    settings.zones = {zone_id("z0")};
    settings.zone_split_threshold = 1;
    list_reader reader(settings);
    reader.set_active(true, start);
    for (int reading = 0; reading < 3; ++reading)
    {
        instant const now = start + reading * 1s;
        std::optional<page_call> const call = reader.next_call(now);
        cr_assert(call.has_value());
        cr_expect(call->zone.empty());
        reader.page_received(call->number, page("a", ""), now);
    }
}

namespace
{

/// A list of many pages whose answers take `answer_time`, and a reader of it
/// whose settings contain its zones except for one that is added later.
class long_list
{
public:
    static constexpr int zones = 9;
    static constexpr int pages_a_zone = 4;

    long_list() : reader(make_settings())
    {
        this->reader.expect(1485, true);
        this->reader.set_active(true, this->now);
    }

    static list_reader_settings make_settings()
    {
        list_reader_settings settings;
        settings.calls_per_second = 50;
        for (int number = 0; number < zones; ++number)
        {
            settings.zones.emplace_back("z" + std::to_string(number));
        }
        return settings;
    }

    void run_for(duration time)
    {
        instant const end = this->now + time;
        for (; this->now < end; this->now += 10ms)
        {
            while (std::optional<page_call> const call =
                       this->reader.next_call(this->now))
            {
                this->full_scan_pages += call->zone.empty() ? 1 : 0;
                this->answers.emplace(this->now + answer_time, *call);
            }
            while (!this->answers.empty() &&
                   this->answers.begin()->first <= this->now)
            {
                this->answer(
                    this->answers.extract(this->answers.begin()).mapped());
            }
        }
    }

    list_reader reader;
    instant now = start;
    bool has_new_zone = false;
    int full_scan_pages = 0;
    duration longest_reading{};
    std::size_t listed = 0;

private:
    static constexpr duration answer_time = 70ms;

    void answer(page_call const& call)
    {
        bool const of_all = call.zone.empty();
        int const number = call.page.empty() ? 1 : std::stoi(call.page);
        int const last = of_all ? zones * pages_a_zone : pages_a_zone;
        list_page answer_page =
            page("u", number < last ? std::to_string(number + 1) : "");
        for (int count = 1; count < 50; ++count)
        {
            answer_page.upstreams.push_back(answer_page.upstreams.front());
        }
        for (discovery::reported_upstream& each : answer_page.upstreams)
        {
            each.upstream.zone = of_all ? zone_id("z0") : call.zone;
        }
        if (of_all && number == last && this->has_new_zone)
        {
            answer_page.upstreams.back().upstream.zone = zone_id("new");
        }
        auto const upstreams =
            this->reader.page_received(call.number, answer_page, this->now);
        if (upstreams.has_value())
        {
            this->longest_reading =
                std::max(this->longest_reading, this->now - this->last_read_at);
            this->last_read_at = this->now;
            this->listed = upstreams->size();
        }
    }

    instant last_read_at = start;
    std::multimap<instant, page_call> answers;
};

} // namespace

// Guards against a full scan that delays the readings by zone: a leaving
// upstream would be found only after more than three seconds.
Test(list_reader, full_scan_does_not_delay_readings_by_zone)
{
    long_list list;
    list.run_for(120s);
    cr_expect_leq(list.longest_reading.count(), duration(2000ms).count());
    cr_expect_geq(list.full_scan_pages,
                  long_list::zones * long_list::pages_a_zone);
}

// Guards against a rate limit so low that the readings leave no calls for the
// full scan, and against full scans that run all the time.
Test(list_reader, full_scan_runs_once_per_configured_number_of_readings)
{
    list_reader_settings settings;
    settings.calls_per_second = 1000;
    settings.zones = {zone_id("z0")};
    settings.zone_split_threshold = 1;
    list_reader reader(settings);
    reader.expect(1, true);
    reader.set_active(true, start);
    std::size_t full_scans = 0;
    for (std::size_t reading = 0; reading < 3 * settings.readings_per_full_scan;
         ++reading)
    {
        instant const now = start + static_cast<int>(reading) * 1s;
        std::optional<page_call> call = reader.next_call(now);
        cr_assert(call.has_value());
        list_page one = page("a", "");
        one.upstreams.back().upstream.zone = zone_id("z0");
        if (call->zone.empty())
        {
            ++full_scans;
            reader.page_received(call->number, one, now);
            call = reader.next_call(now + 10ms);
            cr_assert(call.has_value());
        }
        cr_expect(call->zone == zone_id("z0"));
        cr_expect(
            reader.page_received(call->number, one, now + 10ms).has_value());
    }
    cr_expect_eq(full_scans, 3U);
}

// An upstream is in a zone that is not in the settings. If the list were only
// read by zone, it would be missing permanently and its callers would be
// refused.
Test(list_reader, full_scan_that_finds_a_new_zone_ends_reading_by_zone)
{
    long_list list;
    list.run_for(10s);
    cr_expect_eq(list.listed, 1800U);
    list.full_scan_pages = 0;
    list.has_new_zone = true;
    list.run_for(60s);
    // Time for two full scans; after these the list is no longer read by zone.
    int const pages_before = list.full_scan_pages;
    list.run_for(10s);
    cr_expect_geq(list.full_scan_pages - pages_before, 36);
}

// Guards against a page whose answer is held up by a lost packet while another
// connection would bring it at once.
Test(list_reader, unanswered_call_is_made_again_over_another_connection)
{
    list_reader reader({});
    reader.set_active(true, start);
    page_call const lost = *reader.next_call(start);
    cr_expect_not(reader.next_call(start + 200ms).has_value());
    std::optional<page_call> const hedge = reader.next_call(start + 310ms);
    cr_assert(hedge.has_value());
    cr_expect(hedge->is_hedge);
    cr_expect(hedge->page == lost.page);
    auto const upstreams =
        reader.page_received(hedge->number, page("a", ""), start + 380ms);
    cr_assert(upstreams.has_value());
    cr_expect_not(
        reader.page_received(lost.number, page("b", ""), start + 390ms)
            .has_value());
}

// Guards against a second call that fails and takes the first one with it.
Test(list_reader, failed_second_call_leaves_the_first_in_flight)
{
    list_reader reader({});
    reader.set_active(true, start);
    page_call const slow = *reader.next_call(start);
    page_call const hedge = *reader.next_call(start + 310ms);
    reader.call_failed(hedge.number, start + 320ms);
    cr_expect(reader.page_received(slow.number, page("a", ""), start + 400ms)
                  .has_value());
}

// Guards against a list that refuses calls and is asked again at once forever.
Test(list_reader, pauses_between_failed_calls_grow)
{
    list_reader_settings settings;
    settings.calls_per_second = 1000;
    list_reader reader(settings);
    reader.set_active(true, start);
    unsigned calls = 0;
    for (duration passed{}; passed < 10s; passed += 10ms)
    {
        std::optional<page_call> const call = reader.next_call(start + passed);
        if (call.has_value())
        {
            ++calls;
            reader.call_failed(call->number, start + passed);
        }
    }
    cr_expect_leq(calls, 14U);
}

// Guards against a slow list for which the interval and a failed call add up to
// more than the time within which a leaving upstream must be out of use.
Test(list_reader, slower_calls_make_readings_more_frequent)
{
    list_reader_settings const settings = two_zones();
    for (duration const round_trip : {duration(10ms), duration(200ms)})
    {
        list_reader reader(settings);
        reader.expect(2, true);
        reader.set_active(true, start);
        instant now = start;
        std::vector<instant> begins;
        while (begins.size() < 10)
        {
            std::vector<page_call> const calls = due_calls(reader, now);
            if (!calls.empty())
            {
                begins.push_back(now);
            }
            now += calls.empty() ? duration(10ms) : round_trip;
            for (page_call const& call : calls)
            {
                answer(reader, call, "", now);
            }
        }
        duration const interval = begins.back() - begins[begins.size() - 2];
        duration const limit = 3s - 1300ms - (300ms + round_trip);
        cr_expect_leq(interval.count(), (limit + 10ms).count());
        cr_expect(reader.keeps_budget());
    }
}

// Guards against delivery that takes longer than the budget has for it, with
// readings as rare as ever.
Test(list_reader, slow_delivery_makes_readings_more_frequent)
{
    list_reader_settings const settings = two_zones();
    for (duration const delivery : {duration(600ms), duration(1200ms)})
    {
        list_reader reader(settings);
        reader.expect(2, true);
        reader.set_active(true, start);
        std::vector<instant> begins;
        for (instant now = start; begins.size() < 4; now += 10ms)
        {
            std::vector<page_call> const calls = due_calls(reader, now);
            if (!calls.empty())
            {
                begins.push_back(now);
                reader.record_delivery(delivery);
            }
            for (page_call const& call : calls)
            {
                answer(reader, call, "", now);
            }
        }
        duration const interval = begins.back() - begins[begins.size() - 2];
        duration const failed_call = 300ms;
        cr_expect_leq(interval.count(),
                      (3s - 700ms - delivery - failed_call + 10ms).count());
    }
}

// Guards against calls to the list that stay frequent, and are paid for, long
// after a slow delivery: a list that does not change causes no further ones.
Test(list_reader, readings_become_rare_again_after_a_slow_delivery)
{
    list_reader_settings settings;
    settings.calls_per_second = 1000;
    list_reader reader(settings);
    reader.set_active(true, start);
    reader.record_delivery(1500ms);
    std::vector<instant> begins;
    for (instant now = start; begins.size() < 12; now += 10ms)
    {
        std::optional<page_call> const call = reader.next_call(now);
        if (call.has_value())
        {
            begins.push_back(now);
            reader.page_received(call->number, page("u", ""), now);
        }
    }
    duration const interval = begins.back() - begins[begins.size() - 2];
    cr_expect_eq(interval.count(), duration(settings.period).count());
}

// Guards against a reading whose own duration counts to no leg: a page that is
// first in one reading may be last in the next.
Test(list_reader, interval_and_reading_together_stay_within_the_budget)
{
    constexpr duration round_trip = 100ms;
    constexpr std::size_t pages = 3;
    list_reader reader(two_zones());
    reader.expect(pages, true);
    reader.set_active(true, start);
    std::vector<instant> begins;
    instant now = start;
    while (begins.size() < 5)
    {
        std::vector<page_call> const calls = due_calls(reader, now);
        if (!calls.empty() && calls.front().page.empty())
        {
            begins.push_back(now);
        }
        now += calls.empty() ? duration(10ms) : round_trip;
        for (page_call const& call : calls)
        {
            std::size_t const number =
                call.page.empty() ? 1 : std::stoul(call.page);
            answer(reader, call,
                   number < pages ? std::to_string(number + 1) : "", now);
        }
    }
    duration const interval = begins.back() - begins[begins.size() - 2];
    duration const reading = round_trip * pages;
    duration const failed_call = 150ms + reading;
    cr_expect_leq((interval + reading).count(),
                  (3s - 1300ms - failed_call + 10ms).count());
    cr_expect(reader.keeps_budget());
}

// Guards against a list too slow for the bound that nobody is told of.
Test(list_reader, list_that_is_too_slow_for_the_bound_is_reported)
{
    list_reader_settings settings;
    settings.calls_per_second = 1000;
    settings.budget.bound = 1500ms;
    list_reader reader(settings);
    reader.set_active(true, start);
    page_call const call = *reader.next_call(start);
    reader.page_received(call.number, page("a", ""), start + 100ms);
    cr_expect_not(reader.keeps_budget());
}
