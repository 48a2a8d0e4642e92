#include "bilberrylead/once/once_records.hpp"

#include "tests/unit/once/once_fixture.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::once;
using namespace bilberrylead::tests;
using namespace std::chrono_literals;

namespace
{

enum class expected
{
    granted,
    in_progress,
    recorded,
    unknown,
    mismatch,
    abandoned,
    superseded,
};

expected kind_of_verdict(claim_verdict const& verdict)
{
    if (is<claim_granted>(verdict))
    {
        return expected::granted;
    }
    if (is<claim_in_progress>(verdict))
    {
        return expected::in_progress;
    }
    if (is<claim_recorded>(verdict))
    {
        return expected::recorded;
    }
    if (is<claim_outcome_unknown>(verdict))
    {
        return expected::unknown;
    }
    if (is<claim_mismatch>(verdict))
    {
        return expected::mismatch;
    }
    return is_refused(verdict, claim_refusal::abandoned) ? expected::abandoned
                                                         : expected::superseded;
}

using command_history = std::vector<once_command>;

struct verdict_row
{
    char const* name;
    command_history history;
    claim command;
    expected verdict;
};

once_records small_records()
{
    return once_records({.retention = 100s,
                         .spent_retention = 800s,
                         .max_run_time = 20s,
                         .max_records = 4,
                         .max_records_per_caller = 3,
                         .max_spent_keys = 5,
                         .max_total_answer_bytes = 100,
                         .max_answer_body_bytes = 64,
                         .max_name_bytes = 32});
}

} // namespace

Test(once_records, claim_after_each_history_gets_its_verdict)
{
    register_entry_host const restart{host_id("e1"), 2};
    std::vector<verdict_row> const rows = {
        {"first", {}, claim_of("k", "r1"), expected::granted},
        {"verdict lost",
         {claim_of("k", "r1")},
         claim_of("k", "r1"),
         expected::granted},
        {"repeat while open",
         {claim_of("k", "r1")},
         claim_of("k", "r2", "e2"),
         expected::in_progress},
        {"same request id elsewhere",
         {claim_of("k", "r1")},
         claim_of("k", "r1", "e2"),
         expected::in_progress},
        {"other body",
         {claim_of("k", "r1")},
         claim_of("k", "r2", "e1", 1, 8),
         expected::mismatch},
        {"other body later",
         {claim_of("k", "r1"), complete_of("k", "r1")},
         claim_of("k", "r2", "e1", 1, 8),
         expected::mismatch},
        {"repeat when done",
         {claim_of("k", "r1"), complete_of("k", "r1")},
         claim_of("k", "r2"),
         expected::recorded},
        {"repeat when unknown",
         {claim_of("k", "r1"), unknown_of("k", "r1")},
         claim_of("k", "r2"),
         expected::unknown},
        {"repeat when released",
         {claim_of("k", "r1"), release_of("k", "r1")},
         claim_of("k", "r2"),
         expected::granted},
        {"released with another body then",
         {claim_of("k", "r1"), release_of("k", "r1")},
         claim_of("k", "r2", "e1", 1, 8),
         expected::granted},
        {"late claim after its release",
         {claim_of("k", "r1"), release_of("k", "r1")},
         claim_of("k", "r1"),
         expected::abandoned},
        {"release overtook claim",
         {release_of("k", "r1")},
         claim_of("k", "r1"),
         expected::abandoned},
        {"other request after that",
         {release_of("k", "r1")},
         claim_of("k", "r2"),
         expected::granted},
        {"late claim after another request's release",
         {claim_of("k", "r1"), release_of("k", "r1"), claim_of("k", "r2"),
          release_of("k", "r2")},
         claim_of("k", "r1"),
         expected::abandoned},
        {"release overtook claim while another held the key",
         {claim_of("k", "r2"), release_of("k", "r1"), release_of("k", "r2")},
         claim_of("k", "r1"),
         expected::abandoned},
        {"stranger's release",
         {claim_of("k", "r1"), release_of("k", "r2")},
         claim_of("k", "r3"),
         expected::in_progress},
        {"release after the answer",
         {claim_of("k", "r1"), complete_of("k", "r1"), release_of("k", "r1")},
         claim_of("k", "r2"),
         expected::recorded},
        {"unknown after the answer",
         {claim_of("k", "r1"), complete_of("k", "r1"), unknown_of("k", "r1")},
         claim_of("k", "r2"),
         expected::recorded},
        {"answer after unknown",
         {claim_of("k", "r1"), unknown_of("k", "r1"), complete_of("k", "r1")},
         claim_of("k", "r2"),
         expected::recorded},
        {"holder restarted",
         {claim_of("k", "r1"), restart},
         claim_of("k", "r2", "e1", 2),
         expected::unknown},
        {"holder restarted, seen by its claim only",
         {claim_of("k", "r1"), claim_of("other", "r5", "e1", 2)},
         claim_of("k", "r2", "e2"),
         expected::in_progress},
        {"other host restarted",
         {claim_of("k", "r1", "e2"), restart},
         claim_of("k", "r2"),
         expected::superseded},
        {"late claim of the process before",
         {restart},
         claim_of("k", "r1"),
         expected::superseded},
        {"thawed holder's answer",
         {claim_of("k", "r1"), restart, complete_of("k", "r1")},
         claim_of("k", "r2", "e2"),
         expected::recorded},
        {"thawed holder's release",
         {claim_of("k", "r1"), restart, release_of("k", "r1")},
         claim_of("k", "r2", "e2"),
         expected::granted},
    };
    for (verdict_row const& row : rows)
    {
        once_records records;
        for (once_command const& command : row.history)
        {
            std::visit(
                [&records](auto const& alternative)
                {
                    records.apply(alternative);
                },
                command);
        }
        cr_expect(kind_of_verdict(records.apply(row.command)) == row.verdict,
                  "%s", row.name);
    }
}

Test(once_records, same_key_of_another_caller_is_another_claim)
{
    once_records records;
    claim other = claim_of("k", "r2");
    other.key = key_of("k", "bureau");
    cr_assert(is<claim_granted>(records.apply(claim_of("k", "r1"))));
    cr_assert(is<claim_granted>(records.apply(other)));
}

Test(once_records, first_answer_when_another_follows_stays)
{
    once_records records;
    records.apply(claim_of("k", "r1"));
    cr_assert(records.apply(complete_of("k", "r1")) == settle_result::done);
    complete second = complete_of("k", "r1");
    second.answer = answer_of("other");
    cr_assert(records.apply(second) == settle_result::already_settled);
    cr_assert(records.apply(complete_of("k", "r2")) ==
              settle_result::not_holder);
    cr_assert(records.apply(complete_of("q", "r1")) ==
              settle_result::no_record);
    claim_verdict const repeat = records.apply(claim_of("k", "r3"));
    cr_assert(std::get<claim_recorded>(repeat).answer == answer_of("by r1"));
}

Test(once_records, answer_when_over_the_limit_is_kept_without_body)
{
    once_records records = small_records();
    records.apply(claim_of("k", "r1"));
    complete big = complete_of("k", "r1");
    big.answer = answer_of(std::string(65, 'x'));
    cr_assert(records.apply(big) == settle_result::done);
    recorded_answer const kept =
        std::get<claim_recorded>(records.apply(claim_of("k", "r2"))).answer;
    cr_assert_eq(kept.status, 200);
    cr_assert(kept.body_dropped && kept.body.empty());
}

// Callers send new keys without end. The records fill up; the claim after
// that is refused and says when to come back. Nothing that is still valid
// is forgotten, since its repeat would run a second time.
Test(once_records, full_records_when_claimed_refuse_and_forget_nothing)
{
    once_records records = small_records();
    for (int number = 0; number < 4; ++number)
    {
        claim next = claim_of("k" + std::to_string(number), "r");
        next.key.caller = caller_id("c" + std::to_string(number % 2));
        cr_assert(is<claim_granted>(records.apply(next)));
    }
    claim fifth = claim_of("k5", "r");
    claim_verdict const refused = records.apply(fifth);
    cr_assert(is_refused(refused, claim_refusal::no_room));
    cr_assert(std::get<claim_refused>(refused).retry_after == 20s);
    cr_assert_eq(records.size(), 4);

    // 20 s turn the open ones unknown, another 100 s make them spent keys.
    advance_log_time(records, 119s);
    cr_assert(is_refused(records.apply(fifth), claim_refusal::no_room));
    advance_log_time(records, 1s);
    cr_assert(is<claim_granted>(records.apply(fifth)));
    claim first = claim_of("k0", "r2");
    first.key.caller = caller_id("c0");
    cr_assert(is<claim_outcome_unknown>(records.apply(first)));
}

Test(once_records, caller_when_at_its_share_leaves_room_for_others)
{
    once_records records = small_records();
    for (char const* key : {"a", "b", "c"})
    {
        cr_assert(is<claim_granted>(records.apply(claim_of(key, "r"))));
    }
    cr_assert(is_refused(records.apply(claim_of("d", "r")),
                         claim_refusal::caller_share));
    claim other = claim_of("d", "r");
    other.key.caller = caller_id("bureau");
    cr_assert(is<claim_granted>(records.apply(other)));
}

Test(once_records, names_when_too_long_are_refused)
{
    once_records records = small_records();
    std::string const max_length_name(32, 'x');
    cr_assert(is<claim_granted>(
        records.apply(claim_of(max_length_name, max_length_name))));
    cr_assert(is_refused(records.apply(claim_of(max_length_name + "x", "r")),
                         claim_refusal::key_too_long));
    cr_assert(is_refused(records.apply(claim_of("k", max_length_name + "x")),
                         claim_refusal::key_too_long));
}

// The room for answers is used up. Work still runs; its answer is kept
// without the body, and the room comes back as answers are forgotten.
Test(once_records, answer_bytes_when_used_up_drop_bodies_until_expiry)
{
    once_records records = small_records();
    complete done = complete_of("a", "r");
    done.answer = answer_of(std::string(60, 'x'));
    records.apply(claim_of("a", "r"));
    records.apply(done);
    cr_assert_eq(records.answer_bytes(), 70);

    done.key = key_of("b");
    records.apply(claim_of("b", "r"));
    records.apply(done);
    claim_verdict const repeat = records.apply(claim_of("b", "r2"));
    cr_assert(std::get<claim_recorded>(repeat).answer.body_dropped);
    cr_assert_eq(records.answer_bytes(), 70);

    advance_log_time(records, 100s);
    cr_assert_eq(records.size(), 0);
    cr_assert_eq(records.answer_bytes(), 0);
}

// A caller repeats a posting hours later, when its answer is no longer
// kept. It hears that the outcome is unknown; it must not run again. Only
// after the longer retention is the key free.
Test(once_records, key_when_its_answer_is_gone_is_never_granted)
{
    once_records records = small_records();
    for (char const* key : {"done", "unknown"})
    {
        cr_assert(is<claim_granted>(records.apply(claim_of(key, "r"))));
    }
    records.apply(complete_of("done", "r"));
    records.apply(unknown_of("unknown", "r"));
    records.apply(release_of("released", "r"));
    advance_log_time(records, 101s);
    cr_assert_eq(records.size(), 0);
    cr_assert_eq(records.spent_size(), 2);
    advance_log_time(records, 798s);
    for (char const* key : {"done", "unknown"})
    {
        cr_assert(
            is<claim_outcome_unknown>(records.apply(claim_of(key, "r2"))));
        cr_assert(records.apply(release_of(key, "r")) ==
                  settle_result::no_record);
    }
    // Spent keys leave in eighths of their retention.
    advance_log_time(records, 201s);
    cr_assert_eq(records.spent_size(), 0);
    cr_assert(is<claim_granted>(records.apply(claim_of("done", "r3"))));
}

// The spent keys are full as well. Records then stay and claims are
// refused, rather than an old key being forgotten and run again.
Test(once_records, spent_keys_when_full_hold_the_records_back)
{
    once_records records = small_records();
    std::vector<std::string> const keys = {"a", "b", "c", "d", "e", "f", "g"};
    for (std::string const& key : keys)
    {
        cr_assert(is<claim_granted>(records.apply(claim_of(key, "r"))));
        records.apply(complete_of(key, "r"));
        advance_log_time(records, 101s);
    }
    cr_assert_eq(records.spent_size(), 5);
    cr_assert_eq(records.size(), 2);
    for (std::string const& key : keys)
    {
        cr_assert_not(is<claim_granted>(records.apply(claim_of(key, "r2"))));
    }
    advance_log_time(records, 1'000s);
    cr_assert_eq(records.size(), 0);
    cr_assert_eq(records.spent_size(), 2);
}

// A holder vanishes without a trace and its host never comes back. Its
// claim must not stay "in progress" for good, and never runs again either.
Test(once_records, open_claim_when_over_the_maximum_run_time_is_unknown)
{
    once_records records = small_records();
    records.apply(claim_of("k", "r1"));
    advance_log_time(records, 19s);
    cr_assert(is<claim_in_progress>(records.apply(claim_of("k", "r2"))));
    advance_log_time(records, 1s);
    cr_assert(is<claim_outcome_unknown>(records.apply(claim_of("k", "r2"))));
}

// A leader was frozen, or its clock jumps: it claims that years went by.
// Records that are still valid must not expire by that.
Test(once_records, time_when_it_jumps_counts_one_step_only)
{
    once_records records = small_records();
    records.apply(claim_of("k", "r1"));
    records.apply(complete_of("k", "r1"));
    cr_assert(records.apply(advance_time{std::chrono::hours(24 * 365)}) == 10s);
    cr_assert(records.apply(advance_time{-std::chrono::hours(1)}) == 10s);
    cr_assert(is<claim_recorded>(records.apply(claim_of("k", "r2"))));
}

Test(once_records, incarnation_when_registered_again_answers_the_valid_one)
{
    once_records records;
    records.apply(claim_of("k", "r1", "e1", 5));
    register_entry_host const newer{host_id("e1"), 6};
    registration const first{true, 6, 1};
    registration const again{true, 6, 0};
    registration const late{false, 6, 0};
    cr_assert(records.apply(newer) == first);
    cr_assert(records.apply(newer) == again);
    register_entry_host const older{host_id("e1"), 5};
    cr_assert(records.apply(older) == late);
}

// A request gives up while its claim is still on its way, and its release
// comes first, when the records are full: no record can remember it. Room
// comes back before the claim arrives. Granted then, nobody would run it.
Test(once_records, late_claim_whose_release_found_no_room_is_refused)
{
    once_settings bounds;
    bounds.max_records = 1;
    once_records records(bounds);
    records.apply(claim_of("held", "first"));
    records.apply(release_of("held", "first"));
    advance_log_time(records, std::chrono::seconds(5));
    records.apply(release_of("wanted", "late"));
    advance_log_time(records, bounds.max_run_time - std::chrono::seconds(3));
    cr_assert_eq(records.size(), 0U);
    cr_assert(is_refused(records.apply(claim_of("wanted", "late")),
                         claim_refusal::abandoned));
}
