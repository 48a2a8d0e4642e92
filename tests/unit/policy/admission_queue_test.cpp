#include "bilberrylead/policy/admission_queue.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <variant>

using namespace bilberrylead;
using namespace bilberrylead::policy;
using namespace std::chrono_literals;

namespace
{

/// A queue for three slots that each hold a brief request for 20 ms.
struct queue_fixture
{
    admission_queue queue;
    slot_pool pool{3, 0, 0, 0.0, 20ms, 200ms, 2s};
    instant now{};
    std::uint64_t tickets = 0;

    explicit queue_fixture(admission_queue_settings const& settings = {})
        : queue(settings)
    {
    }

    admission_verdict
    offer(std::uint32_t flow, duration allowed = 2s,
          config::work_length length = config::work_length::brief)
    {
        return this->queue.offer(
            {++this->tickets, flow, this->now, this->now + allowed, length},
            this->pool, this->now);
    }

    int offer_many(std::uint32_t flow, int count)
    {
        int waiting = 0;
        for (int number = 0; number < count; ++number)
        {
            waiting += std::holds_alternative<wait>(this->offer(flow)) ? 1 : 0;
        }
        return waiting;
    }
};

} // namespace

Test(admission_queue, request_is_admitted_when_a_slot_is_free)
{
    queue_fixture fixture;
    fixture.pool.free = 1;
    cr_assert(std::holds_alternative<admit>(fixture.offer(1)));
    cr_assert_eq(fixture.queue.size(), 0);
}

// Guards against an unbounded queue in a burst: 200 look-ups of as many
// callers arrive at once for three slots. Without the bound (bounded = false)
// all of them wait, the last one for 1.3 s, which is too long to be of use.
// With it as many as can be served in 0.5 s wait, and the others receive a
// retry time at once.
Test(admission_queue, burst_beyond_the_bound_is_refused_at_once)
{
    queue_fixture fixture;
    int waiting = 0;
    refuse last;
    for (std::uint32_t caller = 0; caller < 200; ++caller)
    {
        admission_verdict const verdict = fixture.offer(caller);
        if (std::holds_alternative<wait>(verdict))
        {
            ++waiting;
        }
        else
        {
            last = std::get<refuse>(verdict);
        }
    }
    cr_assert_eq(waiting, 75);
    cr_assert(last.reason == refusal_reason::wait_too_long);
    cr_assert_geq(last.retry_after.count(), duration(100ms).count());

    admission_queue_settings off;
    off.bounded = false;
    queue_fixture unbounded(off);
    cr_assert_eq(unbounded.offer_many(1, 200), 200);
}

// Guards against queueing a request that cannot complete before its deadline:
// its caller would wait in vain.
Test(admission_queue, request_without_time_left_is_refused_at_once)
{
    queue_fixture fixture;
    cr_assert(std::holds_alternative<refuse>(fixture.offer(1, 205ms)));
    cr_assert(std::holds_alternative<wait>(fixture.offer(1, 210ms)));
}

// Guards against one heavy caller that crowds out the others: a payroll bureau
// sends 500 requests, then 20 other callers send one each. Served in order of
// arrival (by_flow = false), the bureau fills the bound and all 20 are refused.
// Served by flow, all 20 wait and are served first.
Test(admission_queue, heavy_caller_holds_only_its_share)
{
    for (bool const by_flow : {false, true})
    {
        admission_queue_settings settings;
        settings.queue.by_flow = by_flow;
        queue_fixture fixture(settings);
        fixture.offer_many(1, 500);
        int others = 0;
        for (std::uint32_t caller = 2; caller < 22; ++caller)
        {
            others += fixture.offer_many(caller, 1);
        }
        cr_assert_eq(others, by_flow ? 20 : 0);

        fixture.pool.free = 1;
        fixture.queue.pop(fixture.pool, fixture.now);
        int first_twenty_others = 0;
        for (int served = 0; served < 21; ++served)
        {
            first_twenty_others +=
                fixture.queue.pop(fixture.pool, fixture.now)->flow != 1 ? 1 : 0;
        }
        cr_assert_eq(first_twenty_others, by_flow ? 20 : 0);
    }
}

// Guards against downloads that occupy all slots: with the limit disabled
// three downloads hold all three slots, and each look-up waits for seconds.
Test(admission_queue, downloads_leave_slots_for_lookups)
{
    for (bool const enabled : {false, true})
    {
        admission_queue_settings settings;
        settings.long_work.enabled = enabled;
        queue_fixture fixture(settings);
        fixture.pool.free = 3;
        int started = 0;
        for (std::uint32_t caller = 0; caller < 3; ++caller)
        {
            bool const runs = std::holds_alternative<admit>(
                fixture.offer(caller, 60s, config::work_length::extended));
            started += runs ? 1 : 0;
            fixture.pool.free -= runs ? 1 : 0;
            fixture.pool.long_held += runs ? 1 : 0;
        }
        cr_assert_eq(started, enabled ? 1 : 3);
        cr_assert_eq(std::holds_alternative<admit>(fixture.offer(9)), enabled);
    }
}

// Saturation: the queue has not been empty for seconds. Its bound is shorter,
// since a longer queue only delays each request without more throughput.
Test(admission_queue, standing_queue_has_a_shorter_max_wait)
{
    queue_fixture fixture;
    fixture.offer_many(1, 1);
    fixture.now += 3s;
    int waiting = 0;
    for (std::uint32_t caller = 2; caller < 200; ++caller)
    {
        waiting += fixture.offer_many(caller, 1);
    }
    cr_assert_eq(waiting, 29);
}

Test(admission_queue, request_that_cannot_meet_its_deadline_expires)
{
    queue_fixture fixture;
    fixture.offer(1, 300ms);
    cr_assert_not(fixture.queue.pop_expired(fixture.pool, fixture.now));
    fixture.now += 101ms;
    cr_assert(fixture.queue.pop_expired(fixture.pool, fixture.now));
    cr_assert_eq(fixture.queue.size(), 0);
}
