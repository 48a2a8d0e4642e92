#include "tests/unit/http/pipelining_fixture.hpp"

using namespace bilberrylead;
using namespace bilberrylead::http;

// A request behind a slow one must not use up its time unread.
Test(pipelining, requests_behind_a_slow_one_run_and_answers_keep_their_order)
{
    std::atomic<unsigned> seen = 0;
    auto const saw_all = [&seen]
    {
        return seen == seen_1_to_3;
    };
    pipelined_pair subject(pipelining(8),
                           answering(
                               [&seen, &saw_all](request_text const& request)
                               {
                                   mark(seen, request);
                                   if (request.target() == "/s/1")
                                   {
                                       eventually(saw_all);
                                   }
                                   return whole_answer_text(
                                       std::string(request.target()) +
                                       (saw_all() ? "" : "!"));
                               }));
    subject.caller->send(get("/s/1") + get("/s/2") + get("/s/3"));
    cr_assert_eq(body_of(*subject.caller), "/s/1");
    cr_assert(body_of(*subject.caller).starts_with("/s/2"));
    cr_assert(body_of(*subject.caller).starts_with("/s/3"));
}

// A host that does not enable pipelining must go on as before.
Test(pipelining, when_off_one_request_runs_after_the_other)
{
    waiting_pair subject{server_settings()};
    subject.pair.caller->send(get("/s/1") + get("/s/2"));
    cr_assert(subject.runs_only(1));
    subject.go = true;
    subject.pair.expect_targets({"/s/1", "/s/2"});
}

// One caller must not take more of the host than its window.
Test(pipelining, no_more_requests_than_the_window_run_at_a_time)
{
    waiting_pair subject(pipelining(2));
    subject.pair.caller->send(get("/s/1") + get("/s/2") + get("/s/3") +
                              get("/s/4"));
    cr_assert(subject.runs_only(2));
    subject.go = true;
    subject.pair.expect_targets({"/s/1", "/s/2", "/s/3", "/s/4"});
}

// A request with a body could have effects that depend on its order.
Test(pipelining, request_with_a_body_waits_until_it_is_first)
{
    waiting_pair subject(pipelining(8));
    subject.pair.caller->send(get("/s/1") + post("/s/2", "body") + get("/s/3"));
    cr_assert(subject.runs_only(1));
    subject.go = true;
    subject.pair.expect_targets({"/s/1", "/s/2", "/s/3"});
}

// Nothing may run behind an answer that ends the connection.
Test(pipelining, nothing_runs_behind_a_request_that_closes)
{
    waiting_pair subject(pipelining(8));
    subject.pair.caller->send(
        get("/s/1") + get("/s/2", "Connection: close\r\n") + get("/s/3"));
    cr_assert(subject.runs(2));
    subject.go = true;
    subject.pair.expect_targets({"/s/1", "/s/2"});
    cr_assert(not subject.pair.caller->answer().has_value());
    cr_assert_eq(subject.arrived.load(), 2);
}

// The fault of a later request must not reach the caller before the answers
// to the requests in front of it.
Test(pipelining, bad_request_is_refused_behind_the_answers_before_it)
{
    pipelined_pair subject(pipelining(8),
                           [](wire& connection, int)
                           {
                               echo(connection);
                           });
    subject.caller->send(get("/s/1") + get("/s/2") + "NO HTTP\r\n\r\n" +
                         get("/s/3"));
    subject.expect_targets({"/s/1", "/s/2"});
    cr_assert_eq(subject.caller->answer()->result_int(), 400);
    cr_assert(not subject.caller->answer().has_value());
}

// A planned stop must answer what has been dispatched.
Test(pipelining, at_a_planned_stop_the_last_answer_closes)
{
    waiting_pair subject(pipelining(8));
    subject.pair.caller->send(get("/s/1") + get("/s/2") + get("/s/3"));
    cr_assert(subject.runs(3));
    subject.pair.entry.dispatch(entry::drain_requested{});
    subject.go = true;
    for (std::string const target : {"/s/1", "/s/2", "/s/3"})
    {
        std::optional<answer_text> const answer = subject.pair.caller->answer();
        cr_assert(answer.has_value());
        cr_assert_eq(answer->body(), target);
        cr_assert_eq(answer->keep_alive(), target != "/s/3");
    }
    cr_assert(not subject.pair.caller->answer().has_value());
}

// Work for a caller that has left must not hold slots of upstreams.
Test(pipelining, caller_that_leaves_cancels_all_its_requests)
{
    std::atomic<int> ended = 0;
    std::atomic<unsigned> seen = 0;
    pipelined_pair subject(pipelining(8),
                           [&ended, &seen](wire& connection, int)
                           {
                               if (std::optional<request_text> const request =
                                       connection.request())
                               {
                                   mark(seen, *request);
                                   connection.closed();
                                   ++ended;
                               }
                           });
    subject.caller->send(get("/s/1") + get("/s/2") + get("/s/3"));
    cr_assert(eventually(
        [&seen]
        {
            return seen == seen_1_to_3;
        }));
    // All three run at the same time.
    cr_assert_eq(ended.load(), 0);
    subject.caller.reset();
    cr_assert(eventually(
        [&ended]
        {
            return ended >= 3;
        }));
}
