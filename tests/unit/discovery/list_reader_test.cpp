#include "bilberrylead/discovery/list_reader.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

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

} // namespace

Test(list_reader, pages_when_read_one_after_the_other_make_the_whole_list)
{
    list_reader reader({});
    reader.set_active(true, start);
    std::optional<page_call> const first = reader.next_call(start);
    cr_assert(first.has_value());
    cr_expect(first->page.empty());
    cr_expect_not(
        reader.page_read(first->number, page("a", "p2"), start).has_value());
    cr_expect_not(reader.next_call(start).has_value(), "faster than allowed");
    std::optional<page_call> const second = reader.next_call(start + 500ms);
    cr_assert(second.has_value());
    cr_expect(second->page == "p2");
    auto const whole =
        reader.page_read(second->number, page("b", ""), start + 510ms);
    cr_assert(whole.has_value());
    cr_expect_eq(whole->size(), 2U);
}

// The platform bounds the calls of all hosts together. Two hosts may read at
// once while the leader changes; together they keep the bound.
Test(list_reader, calls_when_counted_stay_below_the_allowed_rate)
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
            reader.page_read(call->number, page("a", "next"), start + passed);
        }
    }
    cr_expect_leq(calls, 21U);
    cr_expect_geq(calls, 15U);
}

// A page fails in the middle: half a list would take the upstreams of the
// other half out of use.
Test(list_reader, failed_page_when_retried_starts_from_the_first)
{
    list_reader reader({});
    reader.set_active(true, start);
    page_call const first = *reader.next_call(start);
    reader.page_read(first.number, page("a", "p2"), start);
    page_call const second = *reader.next_call(start + 400ms);
    reader.call_failed(second.number, start + 400ms);
    cr_expect_not(reader.next_call(start + 500ms).has_value());
    std::optional<page_call> const again = reader.next_call(start + 700ms);
    cr_assert(again.has_value());
    cr_expect(again->page.empty());
    auto const whole =
        reader.page_read(again->number, page("a", ""), start + 700ms);
    cr_assert(whole.has_value());
    cr_expect_eq(whole->size(), 1U);
}

// A call gets no answer at all; its answer comes after the next call was
// made, and belongs to no reading any more.
Test(list_reader, late_answer_of_a_call_given_up_is_not_taken)
{
    list_reader reader({});
    reader.set_active(true, start);
    page_call const lost = *reader.next_call(start);
    cr_expect_not(reader.next_call(start + 1100ms).has_value());
    std::optional<page_call> const again = reader.next_call(start + 1400ms);
    cr_assert(again.has_value());
    cr_expect_not(reader.page_read(lost.number, page("old", ""), start + 1400ms)
                      .has_value());
}

Test(list_reader, host_that_does_not_lead_makes_no_call)
{
    list_reader reader({});
    cr_expect_not(reader.next_call(start).has_value());
    reader.set_active(true, start);
    page_call const open = *reader.next_call(start);
    reader.set_active(false, start);
    cr_expect_not(
        reader.page_read(open.number, page("a", ""), start).has_value());
    cr_expect_not(reader.next_call(start + 10s).has_value());
}

// An upstream that leaves gets requests for seconds. The list has 16 pages
// and each answer takes 70 ms: a pause after each answer, instead of from
// call to call, makes a reading twice as long.
Test(list_reader, answers_that_take_long_do_not_add_to_the_pause)
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
        reader.page_read(call->number, page("a", number < 16 ? "next" : ""),
                         now);
    }
    cr_assert(reader.last_read().has_value());
    cr_expect_eq(*reader.last_read() - start, 16 * 70ms);
}

// An upstream leaves. The list has 36 pages in nine zones, each answer takes
// 70 ms and names the next page. Read one after the other, the last page comes
// after 2.5 s, and callers' requests reach the upstream for longer than they
// may; read by zone, the pages come as fast as the list takes calls.
Test(list_reader, long_list_when_read_by_zone_takes_as_long_as_its_calls)
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
                reader.page_read(
                    number, page("u", read < pages_a_zone ? "next" : ""), now);
            }
        }
    }
    cr_assert(reader.last_read().has_value());
    duration const took = *reader.last_read() - start;
    cr_expect_leq(took.count(), duration(1900ms).count());
    cr_expect_eq(pages.size(), 9U);
}

// A zone's page fails: the other zones' pages stand, and half a list takes no
// upstream out of use.
Test(list_reader, failed_page_of_a_zone_starts_only_that_zone_again)
{
    list_reader_settings settings;
    settings.calls_per_second = 1000;
    settings.zones = {zone_id("z0"), zone_id("z1")};
    list_reader reader(settings);
    reader.expect(settings.split_from, true);
    reader.set_active(true, start);
    page_call const one = *reader.next_call(start);
    page_call const other = *reader.next_call(start + 10ms);
    cr_expect(one.zone == zone_id("z0"));
    cr_expect(other.zone == zone_id("z1"));
    cr_expect_not(
        reader.page_read(one.number, page("a", ""), start + 20ms).has_value());
    reader.call_failed(other.number, start + 30ms);
    cr_expect_not(reader.next_call(start + 100ms).has_value());
    std::optional<page_call> const again = reader.next_call(start + 300ms);
    cr_assert(again.has_value());
    cr_expect(again->zone == zone_id("z1"));
    auto const whole =
        reader.page_read(again->number, page("b", ""), start + 310ms);
    cr_assert(whole.has_value());
    cr_expect_eq(whole->size(), 2U);
}

// The list has upstreams in a zone that this host was not told of. Read by
// zone they would be missing, and their callers refused.
Test(list_reader, list_with_unknown_zones_is_read_as_a_whole)
{
    list_reader_settings settings;
    settings.zones = {zone_id("z0")};
    settings.split_from = 1;
    list_reader reader(settings);
    reader.set_active(true, start);
    for (int reading = 0; reading < 3; ++reading)
    {
        instant const now = start + reading * 1s;
        std::optional<page_call> const call = reader.next_call(now);
        cr_assert(call.has_value());
        cr_expect(call->zone.empty());
        reader.page_read(call->number, page("a", ""), now);
    }
}

// Every now and then a long list is read as a whole, so that upstreams of a
// new zone are found at all.
Test(list_reader, long_list_is_read_as_a_whole_now_and_then)
{
    list_reader_settings settings;
    settings.calls_per_second = 1000;
    settings.zones = {zone_id("z0")};
    settings.split_from = 1;
    list_reader reader(settings);
    reader.set_active(true, start);
    std::size_t wholes = 0;
    for (std::size_t reading = 0; reading < 3 * settings.whole_reading_each;
         ++reading)
    {
        instant const now = start + static_cast<int>(reading) * 1s;
        page_call const call = *reader.next_call(now);
        wholes += call.zone.empty() ? 1 : 0;
        list_page one = page("a", "");
        one.upstreams.back().upstream.zone = zone_id("z0");
        reader.page_read(call.number, one, now);
    }
    // The first one, too: nothing is known then.
    cr_expect_eq(wholes, 4U);
}
