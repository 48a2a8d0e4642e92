#include "tests/unit/entry/entry_fixture.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

request_number const one = static_cast<request_number>(1);

/// A grant with key k whose claim was granted and that was sent.
struct sent_grant : driven_entry
{
    sent_grant()
    {
        this->arrive(1, "grant", "k");
        this->reduce(claim_answered{one, once::claim_granted{}});
    }

    void answer_it()
    {
        upstream_head_received head;
        head.request = one;
        head.status = 201;
        this->reduce(head);
        this->reduce(upstream_answer_finished{
            one, once::recorded_answer{201, "text/plain", {'o', 'k'}, false}});
    }
};

} // namespace

Test(guarded_request, grant_is_forwarded_only_after_its_claim_is_granted)
{
    driven_entry entry;
    entry.arrive(1, "grant", "k");
    cr_assert(entry.has_effect<request_claim>());
    cr_assert_not(entry.has_effect<start_upstream>());
    entry.reduce(claim_answered{one, once::claim_granted{}});
    cr_assert(entry.has_effect<start_upstream>());
    cr_assert(entry.find<start_upstream>()->run_once);
}

Test(guarded_request, every_other_verdict_runs_nothing)
{
    struct row
    {
        once::claim_verdict verdict;
        std::uint16_t problem;
    };
    std::vector<row> const rows = {{once::claim_in_progress{}, 409},
                                   {once::claim_mismatch{}, 422},
                                   {once::claim_refused{}, 0},
                                   {once::claim_outcome_unknown{}, 0},
                                   {once::claim_recorded{}, 0}};
    for (row const& each : rows)
    {
        driven_entry entry;
        entry.arrive(1, "grant", "k");
        entry.reduce(claim_answered{one, each.verdict});
        cr_assert_eq(entry.action_count(), 1);
        cr_assert_eq(entry.last_effects.size(), 2, "plus request_ended");
        cr_assert_not(entry.has_effect<start_upstream>());
        cr_assert_eq(entry.reducer.requests_in_progress(), 0);
        if (each.problem != 0)
        {
            cr_assert_eq(entry.find<answer_problem>()->status, each.problem);
        }
    }
}

Test(guarded_request, answer_is_recorded_before_its_caller_receives_it)
{
    sent_grant entry;
    entry.answer_it();
    cr_assert(entry.has_effect<report_completion>());
    cr_assert_not(entry.has_effect<answer_collected>());
    entry.reduce(completion_stored{one});
    cr_assert(entry.has_effect<answer_collected>());
    cr_assert_eq(entry.reducer.requests_in_progress(), 0);
}

Test(guarded_request, answer_reaches_its_caller_though_no_quorum_records_it)
{
    // The control link breaks while the grant runs. It has run, so its caller
    // receives the answer after a short wait; a repeat in the meantime receives
    // "in progress" and never runs.
    sent_grant entry;
    entry.reduce(control_unreachable{});
    entry.answer_it();
    entry.advance(entry.reducer.settings().record_timeout);
    cr_assert(entry.has_effect<answer_collected>());
}

Test(guarded_request, grant_without_control_host_is_not_run_at_once)
{
    driven_entry entry;
    entry.reduce(control_unreachable{});
    entry.arrive(1, "grant", "k");
    cr_assert(entry.find<answer_not_run>()->reason ==
              refusal_reason::claim_refused);
}

Test(guarded_request, claim_granted_after_the_deadline_is_released)
{
    // The caller received "not run" while its claim was in flight. If the late
    // grant were kept, every repeat would receive "in progress" forever.
    driven_entry entry;
    entry.arrive(1, "grant", "k");
    entry.advance(2s);
    cr_assert(entry.has_effect<answer_not_run>());
    entry.reduce(claim_answered{one, once::claim_granted{}});
    cr_assert(entry.has_effect<report_release>());
    cr_assert_not(entry.has_effect<start_upstream>());
}

Test(guarded_request, grant_that_was_never_sent_releases_its_claim)
{
    sent_grant entry;
    while (!entry.has_effect<answer_not_run>())
    {
        entry.fail(1, exchange_phase::not_sent);
        if (!entry.has_effect<answer_not_run>())
        {
            entry.advance_past_pause();
        }
    }
    cr_assert(entry.has_effect<report_release>());
    cr_assert(entry.has_effect<answer_not_run>());
}

Test(guarded_request, grant_whose_answer_is_lost_is_reported_unknown)
{
    sent_grant entry;
    entry.fail(1, exchange_phase::maybe_sent);
    cr_assert(entry.has_effect<report_unknown>());
    cr_assert(entry.has_effect<answer_unknown>());
    cr_assert_not(entry.has_effect<start_upstream>());
}

Test(guarded_request, grant_whose_caller_left_goes_on_and_is_recorded)
{
    // The caller's connection breaks while its grant runs, and it will retry
    // with the same key. Cancelling would make the outcome unknown.
    sent_grant entry;
    entry.reduce(caller_gone{one});
    cr_assert_not(entry.has_effect<cancel_upstream>());
    entry.advance(5s);
    cr_assert_not(entry.has_effect<answer_unknown>());
    entry.answer_it();
    cr_assert(entry.has_effect<report_completion>());
    cr_assert_eq(entry.reducer.requests_in_progress(), 0);
}

Test(guarded_request, late_grant_is_unknown_to_its_caller_and_still_recorded)
{
    sent_grant entry;
    entry.advance(2s);
    cr_assert(entry.has_effect<answer_unknown>());
    entry.answer_it();
    cr_assert(entry.has_effect<report_completion>());
    cr_assert_not(entry.has_effect<answer_collected>());
}

// The entry host of a caller's first attempt failed after it had forwarded the
// grant. The caller repeats it through this host, which cannot query the
// records. The caller would take "not run" as the answer to both attempts and
// send the grant under another key, which would run it twice. It must receive
// "unknown" with a retry time instead.
Test(guarded_request, repeat_whose_claim_is_refused_is_not_called_not_run)
{
    driven_entry entry;
    entry.repeated = true;
    entry.arrive(1, "grant", "k");
    entry.reduce(claim_answered{one, once::claim_refused{}});
    cr_assert_not(entry.has_effect<answer_not_run>());
    cr_assert(entry.has_effect<answer_unknown>());
    cr_assert(entry.find<answer_unknown>()->retry_after > duration::zero());
}

// A granted claim proves that no earlier attempt ran. If no upstream can run
// the grant then, "not run" holds for all attempts.
Test(guarded_request, repeat_whose_claim_is_granted_may_be_called_not_run)
{
    driven_entry entry;
    entry.repeated = true;
    entry.arrive(1, "grant", "k");
    entry.reduce(claim_answered{one, once::claim_granted{}});
    bool refused = false;
    for (int tries = 0; tries < 50 && !refused; ++tries)
    {
        entry.fail(1, exchange_phase::not_sent);
        cr_assert_not(entry.has_effect<answer_unknown>());
        refused = entry.has_effect<answer_not_run>();
        entry.advance_past_pause();
        cr_assert_not(entry.has_effect<answer_unknown>());
        refused = refused || entry.has_effect<answer_not_run>();
    }
    cr_assert(refused);
}
