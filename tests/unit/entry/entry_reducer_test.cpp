#include "tests/unit/entry/entry_fixture.hpp"

#include <criterion/criterion.h>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

request_number number(std::uint64_t value)
{
    return static_cast<request_number>(value);
}

upstream_head_received head_of(std::uint64_t value)
{
    upstream_head_received head;
    head.request = number(value);
    head.status = 200;
    return head;
}

} // namespace

Test(entry_reducer, request_before_any_configuration_is_not_run)
{
    entry_reducer reducer(driven_entry::make_settings(), test_seed);
    request_arrived arrival;
    arrival.service = service_id("lookup");
    effects const decided = reducer.reduce(arrival, instant{});
    cr_assert_eq(decided.size(), 2);
    cr_assert(std::get<request_ended>(decided.front()).reason ==
              refusal_reason::not_ready);
    cr_assert(std::get<answer_not_run>(decided.back()).reason ==
              refusal_reason::not_ready);
    cr_assert_not(reducer.ready());
}

Test(entry_reducer, configuration_with_older_or_equal_revision_is_ignored)
{
    // A lagging peer sends the revision before the operator's last change. The
    // last change must stay in force.
    driven_entry entry;
    std::shared_ptr<config::configuration> const newer = make_configuration();
    newer->services.pop_back();
    entry.reduce(configuration_received{3, newer});
    entry.reduce(configuration_received{2, make_configuration()});
    entry.reduce(configuration_received{3, make_configuration()});
    cr_assert_eq(entry.reducer.revision_in_force(), 3);
    cr_assert_null(entry.reducer.find_service(service_id("post")));
}

Test(entry_reducer, answered_lookup_is_streamed_and_ends)
{
    driven_entry entry;
    entry.arrive(1, "lookup");
    cr_assert(entry.has_effect<start_upstream>());
    entry.reduce(head_of(1));
    cr_assert(entry.has_effect<stream_answer>());
    entry.reduce(upstream_answer_finished{number(1), std::nullopt});
    cr_assert_eq(entry.reducer.requests_in_progress(), 0);
    cr_assert_eq(entry.reducer.counters().slots_in_use, 0);
}

Test(entry_reducer, unknown_service_and_missing_key_are_problems)
{
    driven_entry entry;
    entry.arrive(1, "nothing");
    cr_assert_eq(entry.find<answer_problem>()->status, 404);
    entry.arrive(2, "grant");
    cr_assert_eq(entry.find<answer_problem>()->status, 400);
}

Test(entry_reducer, lookup_whose_connection_breaks_is_tried_elsewhere)
{
    driven_entry entry;
    upstream_id const first = [&entry]
    {
        entry.arrive(1, "lookup");
        return entry.find<start_upstream>()->upstream;
    }();
    entry.fail(1, exchange_phase::maybe_sent);
    entry.advance_past_pause();
    cr_assert(entry.has_effect<start_upstream>());
    cr_assert(entry.find<start_upstream>()->upstream != first);
    cr_assert(entry.find<start_upstream>()->new_connection_only);
}

Test(entry_reducer, post_whose_connection_breaks_is_never_sent_again)
{
    // A caller posts a royalty, and the connection breaks after the bytes were
    // sent. It may have been booked, so a retry could book it twice: the caller
    // must receive "unknown" at once.
    driven_entry entry;
    entry.arrive(1, "post");
    entry.fail(1, exchange_phase::maybe_sent);
    cr_assert_not(entry.has_effect<start_upstream>());
    cr_assert(entry.has_effect<answer_unknown>());
    entry.advance_past_pause();
    cr_assert_not(entry.has_effect<start_upstream>());
    cr_assert_eq(entry.reducer.requests_in_progress(), 0);
}

Test(entry_reducer, post_that_never_left_is_tried_elsewhere_then_not_run)
{
    driven_entry entry;
    entry.arrive(1, "post");
    unsigned const attempts = entry.reducer.settings().retry.max_attempts;
    for (std::uint32_t each = 1; each < attempts; ++each)
    {
        entry.fail(1, exchange_phase::not_sent);
        entry.advance_past_pause();
        cr_assert(entry.has_effect<start_upstream>());
    }
    entry.fail(1, exchange_phase::not_sent);
    cr_assert_not(entry.has_effect<start_upstream>());
    cr_assert(entry.has_effect<answer_not_run>());
}

Test(entry_reducer, post_that_upstream_refused_is_retried_elsewhere)
{
    driven_entry entry;
    entry.arrive(1, "post");
    upstream_head_received refusal = head_of(1);
    refusal.not_run = true;
    entry.reduce(refusal);
    entry.advance_past_pause();
    cr_assert(entry.has_effect<start_upstream>());
}

Test(entry_reducer, request_beyond_all_slots_waits_and_is_served_in_turn)
{
    driven_entry entry;
    entry.arrive(1, "lookup");
    entry.arrive(2, "lookup");
    entry.arrive(3, "lookup");
    cr_assert_not(entry.has_effect<start_upstream>());
    entry.reduce(head_of(1));
    entry.reduce(upstream_answer_finished{number(1), std::nullopt});
    cr_assert(entry.find<start_upstream>()->request == number(3));
}

Test(entry_reducer, waiting_request_at_its_deadline_is_not_run)
{
    driven_entry entry;
    entry.arrive(1, "post");
    entry.arrive(2, "post");
    entry.arrive(3, "post");
    entry.advance(2s);
    cr_assert(entry.has_effect<answer_not_run>());
    cr_assert(entry.find<answer_not_run>()->request == number(3));
    cr_assert(entry.has_effect<answer_unknown>(), "the other two may have run");
}

Test(entry_reducer, caller_that_goes_away_cancels_its_lookup)
{
    driven_entry entry;
    entry.arrive(1, "lookup");
    entry.reduce(caller_gone{number(1)});
    cr_assert(entry.has_effect<cancel_upstream>());
    cr_assert_eq(entry.reducer.counters().slots_in_use, 0);
}

// Guards against a slot that stays in use, a failure that is charged to the
// upstream, and a second run, when an upload cannot be read to its end.
Test(entry_reducer, upload_that_cannot_be_read_on_is_cancelled)
{
    driven_entry entry;
    request_arrived arrival;
    arrival.request = number(1);
    arrival.service = service_id("lookup");
    arrival.caller = caller_id("studio");
    arrival.body_kept = false;
    entry.reduce(arrival);
    entry.reduce(request_body_failed{number(1)});
    cr_expect(entry.has_effect<cancel_upstream>());
    cr_expect_not(entry.has_effect<answer_not_run>());
    request_ended const* const end = entry.find<request_ended>();
    cr_assert_not_null(end);
    cr_expect(end->outcome == request_outcome::problem);
    cr_expect(end->reason == refusal_reason::body_incomplete);
    cr_expect_eq(entry.reducer.counters().slots_in_use, 0);
    entry.advance(10s);
    cr_expect_not(entry.has_effect<start_upstream>());
}

Test(entry_reducer, leaving_upstream_gets_no_new_work)
{
    // Upstream a announces in an answer that it is leaving, before the
    // configuration marks it. All later requests must go to b.
    driven_entry entry;
    entry.arrive(1, "lookup");
    upstream_id const leaving = entry.find<start_upstream>()->upstream;
    upstream_signals_received signals;
    signals.request = number(1);
    signals.service = service_id("lookup");
    signals.upstream = leaving;
    signals.leaving = true;
    entry.reduce(signals);
    entry.reduce(head_of(1));
    entry.reduce(upstream_answer_finished{number(1), std::nullopt});
    for (std::uint64_t each = 2; each < 10; ++each)
    {
        entry.arrive(each, "lookup");
        cr_assert(entry.find<start_upstream>()->upstream != leaving);
        entry.reduce(head_of(each));
        entry.reduce(upstream_answer_finished{number(each), std::nullopt});
    }
}

Test(entry_reducer, upstream_labelled_as_leaving_gets_no_new_work)
{
    // An operator drains lookup-a. From the revision that marks it, every
    // request must go to lookup-b, even when both are free.
    driven_entry entry;
    std::shared_ptr<config::configuration> const drained = make_configuration();
    upstream_id const leaving("lookup-a");
    for (config::upstream& upstream : drained->upstreams)
    {
        upstream.leaving = upstream.id == leaving;
    }
    entry.reduce(configuration_received{2, drained});
    for (std::uint64_t each = 1; each < 10; ++each)
    {
        entry.arrive(each, "lookup");
        cr_assert(entry.find<start_upstream>()->upstream != leaving);
        entry.reduce(head_of(each));
        entry.reduce(upstream_answer_finished{number(each), std::nullopt});
    }
}
