#include "bilberrylead/discovery/list_reader.hpp"

#include <criterion/criterion.h>

#include <chrono>
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
