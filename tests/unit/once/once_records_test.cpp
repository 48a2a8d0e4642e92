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
        {"released, then claimed with another body",
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
        {"release overtook claim, other request",
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
        {"release by another request",
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
        {"answer of a holder that resumed",
         {claim_of("k", "r1"), restart, complete_of("k", "r1")},
         claim_of("k", "r2", "e2"),
         expected::recorded},
        {"release by a holder that resumed",
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

// Callers keep sending new keys until the records are full. The next claim is
// refused with a retry time. No valid record is dropped, because its repeat
// would run a second time.
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

    // Open records become unknown after 20 s and spent keys after another
    // 100 s.
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

// The maximum total size of answers is reached. Work still runs and its
// answer is recorded without the body; capacity is freed as answers expire.
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

// A caller repeats a request hours later, when its answer is no longer kept.
// The verdict is that the outcome is unknown, and the work must not run again.
// The key can be claimed again only after the retention of spent keys.
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
    // Spent keys expire in buckets of one eighth of their retention.
    advance_log_time(records, 201s);
    cr_assert_eq(records.spent_size(), 0);
    cr_assert(is<claim_granted>(records.apply(claim_of("done", "r3"))));
}

// The spent keys are full as well. Records are then kept and claims refused;
// dropping an old key would let its work run again.
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

// A holder ends without a report and its host never registers again. Its
// claim must not stay "in progress" forever, and the work must not run again.
Test(once_records, open_claim_when_over_the_maximum_run_time_is_unknown)
{
    once_records records = small_records();
    records.apply(claim_of("k", "r1"));
    advance_log_time(records, 19s);
    cr_assert(is<claim_in_progress>(records.apply(claim_of("k", "r2"))));
    advance_log_time(records, 1s);
    cr_assert(is<claim_outcome_unknown>(records.apply(claim_of("k", "r2"))));
}

// A leader was suspended or its clock jumps, and it reports that years have
// elapsed. Valid records must not expire because of it.
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

// A request abandons the work while its claim is in flight. Its release
// arrives first, when the records are full, so that no record can be created.
// Capacity is free again when the claim arrives; if it were granted, no
// request would run the work.
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
