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

/// How far an entry host is with a request when its process dies.
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

/// What becomes of the command that was on its way when the process died.
enum class late_command
{
    lost,
    before_restart,
    after_restart,
    twice,
};

/// The records, one upstream that counts runs, and entry hosts that carry
/// one request each, as far as a crash lets them.
struct guarded_path
{
    once_records records;
    std::map<std::string, int> runs;
    int told_not_run = 0;
    int told_done = 0;

    /// Forwards if granted and answers the caller.
    void carry(claim const& asked)
    {
        std::string const request = asked.request.text();
        claim_verdict const verdict = this->records.apply(asked);
        if (is<claim_granted>(verdict))
        {
            ++this->runs[request];
            this->records.apply(complete_of("k", request));
            ++this->told_done;
        }
        if (is<claim_recorded>(verdict))
        {
            ++this->told_done;
        }
        if (is<claim_refused>(verdict))
        {
            ++this->told_not_run;
            cr_assert_eq(this->runs[request], 0);
        }
    }

    /// Carries request r1 through e1 up to the crash. Gives the command
    /// that was on its way.
    std::optional<once_command> carry_until(crash_point point)
    {
        claim asked = claim_of("k", "r1");
        if (point == crash_point::before_claim)
        {
            return std::nullopt;
        }
        if (point == crash_point::claim_sent)
        {
            return asked;
        }
        cr_assert(is<claim_granted>(this->records.apply(asked)));
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
            ++this->told_done;
        }
        return std::nullopt;
    }

    void deliver(once_command const& command)
    {
        std::visit(
            [this](auto const& each)
            {
                this->records.apply(each);
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

void play(crash_point point, late_command late, std::string const& repeat_host)
{
    guarded_path path;
    std::optional<once_command> const on_its_way = path.carry_until(point);
    bool const early =
        late == late_command::before_restart || late == late_command::twice;
    bool const after =
        late == late_command::after_restart || late == late_command::twice;
    if (on_its_way.has_value() && early)
    {
        path.deliver(*on_its_way);
    }

    // The caller repeats through another host at once, then the host comes
    // back, then the caller repeats through either.
    path.carry(claim_of("k", "r2", "e3"));
    path.records.apply(register_entry_host{host_id("e1"), 2});
    if (on_its_way.has_value() && after)
    {
        path.deliver(*on_its_way);
    }
    std::uint64_t const incarnation = repeat_host == "e1" ? 2 : 1;
    path.carry(claim_of("k", "r3", repeat_host, incarnation));
    path.carry(claim_of("k", "r3", repeat_host, incarnation));
    path.carry(claim_of("k", "r4", "e3"));

    cr_expect_leq(path.total_runs(), 1, "crash %d late %d",
                  static_cast<int>(point), static_cast<int>(late));
    // Whenever nobody can have run it, a repeat does; when the answer is
    // recorded, repeats get it.
    bool const may_have_run = point > crash_point::claim_sent;
    bool const claim_arrived = point == crash_point::claim_sent && early;
    if (!may_have_run && !claim_arrived)
    {
        cr_expect_eq(path.total_runs(), 1);
        cr_expect_geq(path.told_done, 1);
    }
}

} // namespace

// The caller posts a grant through e1; e1's process dies at each point
// between claim, forward, answer and record, and what it had sent is lost,
// late or doubled. The caller, unanswered, posts again through e3, then
// again once e1 is back. The upstream must see the grant at most once, and
// who is told "not run" must be told the truth.
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
                play(static_cast<crash_point>(point),
                     static_cast<late_command>(late), host);
            }
        }
    }
}
