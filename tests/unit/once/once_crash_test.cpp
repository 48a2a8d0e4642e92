#include "bilberrylead/once/once_records.hpp"

#include "tests/unit/once/once_fixture.hpp"

#include <criterion/criterion.h>

#include <map>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::once;
using namespace bilberrylead::tests;

namespace
{

/// Progress of a request when the process of its entry host ends.
enum class crash_point
{
    before_claim,
    claim_sent,
    verdict_received,
    forwarded,
    answer_received,
    complete_sent,
    caller_answered,
};

/// Delivery of the command that was in flight when the process ended.
enum class late_command
{
    lost,
    before_restart,
    after_restart,
    twice,
};

/// The records, one upstream that counts runs, and entry hosts that process
/// one request each until a crash.
struct guarded_path
{
    once_records records;
    std::map<std::string, int> runs;
    int not_run_answers = 0;
    int completed_answers = 0;

    /// Applies the claim, runs the work if granted, and answers the caller.
    void process_claim(claim const& command)
    {
        std::string const request = command.request.text();
        claim_verdict const verdict = this->records.apply(command);
        if (is<claim_granted>(verdict))
        {
            ++this->runs[request];
            this->records.apply(complete_of("k", request));
            ++this->completed_answers;
        }
        if (is<claim_recorded>(verdict))
        {
            ++this->completed_answers;
        }
        if (is<claim_refused>(verdict))
        {
            ++this->not_run_answers;
            cr_assert_eq(this->runs[request], 0);
        }
    }

    /// Processes request r1 on e1 up to the crash. Returns the command that
    /// was in flight.
    std::optional<once_command> process_until_crash(crash_point point)
    {
        claim command = claim_of("k", "r1");
        if (point == crash_point::before_claim)
        {
            return std::nullopt;
        }
        if (point == crash_point::claim_sent)
        {
            return command;
        }
        cr_assert(is<claim_granted>(this->records.apply(command)));
        if (point >= crash_point::forwarded)
        {
            ++this->runs["r1"];
        }
        if (point == crash_point::complete_sent)
        {
            return complete_of("k", "r1");
        }
        if (point == crash_point::caller_answered)
        {
            this->records.apply(complete_of("k", "r1"));
            ++this->completed_answers;
        }
        return std::nullopt;
    }

    void deliver(once_command const& command)
    {
        std::visit(
            [this](auto const& alternative)
            {
                this->records.apply(alternative);
            },
            command);
    }

    int total_runs() const
    {
        int total = 0;
        for (auto const& [request, count] : this->runs)
        {
            total += count;
        }
        return total;
    }
};

void run_case(crash_point point, late_command late,
              std::string const& repeat_host)
{
    guarded_path path;
    std::optional<once_command> const in_flight =
        path.process_until_crash(point);
    bool const before_restart =
        late == late_command::before_restart || late == late_command::twice;
    bool const after_restart =
        late == late_command::after_restart || late == late_command::twice;
    if (in_flight.has_value() && before_restart)
    {
        path.deliver(*in_flight);
    }

    // The caller repeats at once through another host. After the first host
    // has restarted, the caller repeats through either.
    path.process_claim(claim_of("k", "r2", "e3"));
    path.records.apply(register_entry_host{host_id("e1"), 2});
    if (in_flight.has_value() && after_restart)
    {
        path.deliver(*in_flight);
    }
    std::uint64_t const incarnation = repeat_host == "e1" ? 2 : 1;
    path.process_claim(claim_of("k", "r3", repeat_host, incarnation));
    path.process_claim(claim_of("k", "r3", repeat_host, incarnation));
    path.process_claim(claim_of("k", "r4", "e3"));

    cr_expect_leq(path.total_runs(), 1, "crash %d late %d",
                  static_cast<int>(point), static_cast<int>(late));
    // If no request can have run the work, a repeat runs it. If the answer is
    // recorded, repeats receive it.
    bool const may_have_run = point > crash_point::claim_sent;
    bool const claim_arrived =
        point == crash_point::claim_sent && before_restart;
    if (!may_have_run && !claim_arrived)
    {
        cr_expect_eq(path.total_runs(), 1);
        cr_expect_geq(path.completed_answers, 1);
    }
}

} // namespace

// A caller posts a grant through e1. The process of e1 ends at each point
// between claim, forward, answer and record, and the command in flight is
// lost, late or duplicated. The caller, without an answer, repeats through e3
// and again after e1 has restarted. The upstream must receive the grant at
// most once, and "not run" must only be answered if the request did not run.
Test(once_records, crash_at_every_point_when_repeated_runs_at_most_once)
{
    for (int point = 0; point <= static_cast<int>(crash_point::caller_answered);
         ++point)
    {
        for (int late = 0; late <= static_cast<int>(late_command::twice);
             ++late)
        {
            for (char const* host : {"e1", "e2"})
            {
                run_case(static_cast<crash_point>(point),
                         static_cast<late_command>(late), host);
            }
        }
    }
}
