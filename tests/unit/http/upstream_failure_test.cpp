#include "tests/unit/http/http_fixture.hpp"

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

void not_repeatable(config::service& service)
{
    service.idempotent = false;
}

std::string outcome_of(std::optional<answer_text> const& answer)
{
    return answer ? std::string((*answer)["Bilberry-Outcome"]) : "cut";
}

} // namespace

Test(upstream_failure, answer_that_names_another_request_never_reaches_caller)
{
    // Something between the two ends mixes up answers: the first one that
    // comes belongs to another request. The caller must get its own.
    fake_upstream upstream(
        [](wire& connection, int place)
        {
            if (place == 0)
            {
                connection.request();
                connection.send(whole_answer_text(
                    "other", "Bilberry-Request-Id: entry-999\r\n"));
                return;
            }
            echo(connection);
        });
    running_server entry;
    entry.configure({upstream.port()});
    std::optional<answer_text> const answer = entry.ask(get("/s/own"));
    cr_assert(answer.has_value());
    cr_assert_eq(answer->body(), "/s/own");
}

Test(upstream_failure, late_second_answer_never_meets_the_next_request)
{
    // The upstream answers one request twice, the second time after the
    // first answer was passed on. The next request on that connection would
    // get the stale answer; so the connection must not be used again.
    std::promise<void> stale_sent;
    fake_upstream upstream(
        [&stale_sent](wire& connection, int place)
        {
            if (place == 0)
            {
                connection.request();
                connection.send(whole_answer_text("first"));
                connection.send(whole_answer_text("stale"));
                stale_sent.set_value();
                connection.closed();
                return;
            }
            echo(connection);
        });
    running_server entry;
    entry.configure({upstream.port()});
    cr_assert_eq(entry.ask(get("/s/1"))->body(), "first");
    stale_sent.get_future().wait();
    cr_assert_eq(entry.ask(get("/s/2"))->body(), "/s/2");
}

Test(upstream_failure, caller_that_leaves_cancels_its_work_at_the_upstream)
{
    std::promise<void> running;
    std::promise<void> cancelled;
    fake_upstream upstream(
        [&running, &cancelled](wire& connection, int)
        {
            connection.request();
            running.set_value();
            connection.closed();
            cancelled.set_value();
        });
    running_server entry;
    entry.configure({upstream.port()});
    {
        wire caller = entry.connect();
        caller.send(get("/s/1"));
        running.get_future().wait();
    }
    cancelled.get_future().wait();
}

Test(upstream_failure, silent_connection_is_given_up_and_siblings_are_closed)
{
    // Two kept connections go silent for good while new ones work. The next
    // caller's request goes into one of them; half its deadline later it is
    // tried on a new connection and answered, and the other silent one is
    // closed before it can swallow anybody's request.
    std::mutex mutex;
    std::condition_variable both;
    int arrived = 0;
    fake_upstream upstream(
        [&mutex, &both, &arrived](wire& connection, int place)
        {
            if (place >= 2)
            {
                echo(connection);
                return;
            }
            connection.request();
            {
                std::unique_lock lock(mutex);
                ++arrived;
                both.notify_all();
                both.wait(lock,
                          [&arrived]
                          {
                              return arrived == 2;
                          });
            }
            connection.send(whole_answer_text("kept"));
            connection.closed();
        });
    running_server entry;
    entry.configure({upstream.port()});
    wire first = entry.connect();
    wire second = entry.connect();
    first.send(get("/s/1"));
    second.send(get("/s/2"));
    cr_assert_eq(first.answer()->body(), "kept");
    cr_assert_eq(second.answer()->body(), "kept");
    std::optional<answer_text> const answer =
        entry.ask(get("/s/3", "Bilberry-Deadline-Ms: 2000\r\n"));
    cr_assert_eq(answer->body(), "/s/3");
    entry.call(
        [&entry]
        {
            cr_assert_eq(
                entry.server->connection_counters().upstream_suspects_closed,
                1);
        });
}

Test(upstream_failure, truncated_answer_is_seen_as_truncated)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            connection.request();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nab");
        });
    running_server entry;
    entry.configure({upstream.port()});
    cr_assert_not(entry.ask(get("/s/1")).has_value());
}

Test(upstream_failure, download_that_falls_silent_is_cut_after_its_timeout)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            connection.request();
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n2\r\nab\r\n");
            connection.closed();
        });
    running_server entry;
    entry.configure({upstream.port()},
                    [](config::service& service)
                    {
                        service.progress_timeout = 100ms;
                    });
    cr_assert_not(entry.ask(get("/s/1")).has_value());
}

// A download's deadline is an hour. Its first upstream takes the request and
// never answers, as when the connection went silent. Its caller must not
// wait for the hour, nor the slot be held for it: after the progress timeout
// it is tried elsewhere.
Test(upstream_failure, download_without_a_head_is_tried_elsewhere_in_time,
     .timeout = 60)
{
    fake_upstream silent(
        [](wire& connection, int)
        {
            connection.request();
            connection.closed();
        });
    fake_upstream running(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry;
    entry.configure({silent.port(), running.port()},
                    [](config::service& service)
                    {
                        service.deadline = std::chrono::hours(1);
                        service.progress_timeout = 100ms;
                    });
    for (int each = 0; each < 4; ++each)
    {
        cr_assert(entry.ask(get("/s/1")).has_value());
    }
}

Test(upstream_failure, post_that_upstream_turned_away_runs_once_elsewhere)
{
    // The first upstream sheds the post and says that it was not run; so it
    // may go to the second one, and runs there once.
    fake_upstream shedding(
        [](wire& connection, int)
        {
            while (connection.request())
            {
                connection.send("HTTP/1.1 503 Busy\r\nBilberry-Not-Run: 1\r\n"
                                "Content-Length: 0\r\n\r\n");
            }
        });
    fake_upstream running(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry;
    entry.configure({shedding.port(), running.port()}, not_repeatable);
    for (int each = 0; each < 4; ++each)
    {
        std::optional<answer_text> const answer =
            entry.ask(post("/s/p", "body"));
        cr_assert_eq(answer->result_int(), 200);
        cr_assert_eq(answer->body(), "/s/pbody");
    }
}

Test(upstream_failure, post_that_everybody_turns_away_is_not_run)
{
    fake_upstream shedding(
        [](wire& connection, int)
        {
            while (connection.request())
            {
                connection.send("HTTP/1.1 503 Busy\r\nBilberry-Not-Run: 1\r\n"
                                "Content-Length: 0\r\n\r\n");
            }
        });
    running_server entry;
    entry.configure({shedding.port()}, not_repeatable);
    std::optional<answer_text> const answer = entry.ask(post("/s/p", "body"));
    cr_assert_eq(answer->result_int(), 503);
    cr_assert_eq(outcome_of(answer), "not-run");
    cr_assert_neq(std::string((*answer)["Retry-After"]), "");
}

Test(upstream_failure, post_whose_answer_is_lost_is_unknown_and_ran_once)
{
    // The upstream takes the post and its connection breaks. Nobody knows
    // whether it ran, so it is not sent again, not even to the other one.
    std::atomic<int> runs = 0;
    std::function<void(wire&, int)> const breaking =
        [&runs](wire& connection, int)
    {
        if (connection.request())
        {
            ++runs;
        }
    };
    fake_upstream one(breaking);
    fake_upstream other(breaking);
    running_server entry;
    entry.configure({one.port(), other.port()}, not_repeatable);
    std::optional<answer_text> const answer = entry.ask(post("/s/p", "body"));
    cr_assert_eq(answer->result_int(), 502);
    cr_assert_eq(outcome_of(answer), "unknown");
    cr_assert_eq(runs.load(), 1);
}

Test(upstream_failure, upstream_that_says_it_leaves_gets_no_further_work)
{
    std::atomic<int> late_work = 0;
    fake_upstream leaving(
        [&late_work](wire& connection, int)
        {
            while (connection.request())
            {
                ++late_work;
                connection.send(whole_answer_text(
                    "left", "Connection: close\r\nBilberry-Leaving: 1\r\n"));
            }
        });
    fake_upstream staying(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry;
    entry.configure({leaving.port(), staying.port()});
    for (int each = 0; each < 12; ++each)
    {
        cr_assert_eq(entry.ask(get("/s/1"))->result_int(), 200);
    }
    cr_assert_leq(late_work.load(), 1);
}

// Guards against an upstream's wish for a rest that is read by nobody.
Test(upstream_failure, upstream_that_asks_for_rest_gets_no_further_work)
{
    std::atomic<int> refused = 0;
    fake_upstream resting(
        [&refused](wire& connection, int)
        {
            while (connection.request())
            {
                ++refused;
                connection.send("HTTP/1.1 503 Busy\r\nBilberry-Not-Run: 1\r\n"
                                "Retry-After: 60\r\n"
                                "Content-Length: 0\r\n\r\n");
            }
        });
    fake_upstream running(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry;
    entry.configure({resting.port(), running.port()});
    for (int each = 0; each < 12; ++each)
    {
        cr_assert_eq(entry.ask(get("/s/1"))->result_int(), 200);
    }
    cr_assert_leq(refused.load(), 1);
}

// Guards against a refusal whose Retry-After is lost because its body never
// ends.
Test(upstream_failure, rest_counts_from_the_head_of_the_refusal)
{
    fake_upstream resting(
        [](wire& connection, int)
        {
            while (connection.request())
            {
                connection.send("HTTP/1.1 503 Busy\r\nBilberry-Not-Run: 1\r\n"
                                "Retry-After: 60\r\n"
                                "Content-Length: 5\r\n\r\n");
            }
        });
    running_server entry;
    entry.configure({resting.port()},
                    [](config::service& service)
                    {
                        service.progress_timeout = 100ms;
                    });
    bool is_resting = false;
    for (int each = 0; each < 5 && !is_resting; ++each)
    {
        std::optional<answer_text> const answer = entry.ask(get("/s/1"));
        is_resting =
            answer->body().find("upstreams-resting") != std::string::npos;
    }
    cr_expect(is_resting);
}

// Guards against an interim answer that is taken for the final one because
// its status is not a known one.
Test(upstream_failure, interim_answer_of_any_status_is_not_passed_on)
{
    for (std::string const status : {"100", "102", "103", "104", "199"})
    {
        std::string const interim =
            "HTTP/1.1 " + status + " Wait\r\nLink: </a>\r\n\r\n";
        fake_upstream upstream(
            [&interim](wire& connection, int)
            {
                while (std::optional<request_text> const request =
                           connection.request())
                {
                    bool const ends = request->target() == "/s/ends";
                    connection.send(interim +
                                    (ends ? "" : whole_answer_text("own")));
                    if (ends)
                    {
                        return;
                    }
                }
            });
        running_server entry;
        entry.configure({upstream.port()}, not_repeatable);
        wire caller = entry.connect();
        for (int round = 0; round < 2; ++round)
        {
            caller.send(get("/s/1"));
            std::optional<answer_text> answer = caller.answer();
            cr_assert(answer.has_value(), "%s", status.c_str());
            cr_assert_eq(answer->result_int(), 200, "%s", status.c_str());
            cr_assert_eq(answer->body(), "own");
        }
        cr_assert_eq(upstream.connections.load(), 1);
        caller.send(get("/s/ends"));
        std::optional<answer_text> const answer = caller.answer();
        cr_assert(answer.has_value(), "%s", status.c_str());
        cr_assert_eq(answer->result_int(), 502, "%s", status.c_str());
    }
}

// Guards against a success that an upstream did not mark as its own and that
// is passed on because its status is not a known one.
Test(upstream_failure, unmarked_success_of_any_status_is_not_passed_on)
{
    server_settings settings;
    settings.names.answer_mark = "X-Mark";
    for (std::string const status : {"200", "209", "226", "299"})
    {
        for (bool const marked : {false, true})
        {
            std::string const text = "HTTP/1.1 " + status + " Done\r\n" +
                                     (marked ? "X-Mark: 1\r\n" : "") +
                                     "Content-Length: 3\r\n\r\nown";
            fake_upstream upstream(
                [&text](wire& connection, int)
                {
                    connection.request();
                    connection.send(text);
                });
            running_server entry(settings);
            entry.configure({upstream.port()}, not_repeatable);
            std::optional<answer_text> const answer = entry.ask(get("/s/1"));
            cr_assert(answer.has_value(), "%s", text.c_str());
            std::string const given = std::to_string(answer->result_int());
            cr_assert(given == (marked ? status : "502"), "%s", text.c_str());
        }
    }
}

// Guards against an answer in a transfer coding that nobody removes, or whose
// Transfer-Encoding is cut, and that is passed on as a whole success.
Test(upstream_failure, answer_in_an_unknown_transfer_coding_is_not_passed_on)
{
    std::string const body = "5\r\nhello\r\n0\r\n\r\n";
    for (std::string const coding :
         {"Transfer-Encoding:", "Transfer-Encoding: ",
          "Transfer-Encoding: chun", "Transfer-Encoding: gzip",
          "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chun\r\nContent-Length: 0"})
    {
        for (std::string const& sent : {std::string(), body})
        {
            fake_upstream upstream(
                [&coding, &sent](wire& connection, int)
                {
                    connection.request();
                    std::string answer = "HTTP/1.1 200 OK\r\n";
                    answer.append(coding).append("\r\n\r\n").append(sent);
                    connection.send(answer);
                });
            running_server entry;
            entry.configure({upstream.port()}, not_repeatable);
            std::optional<answer_text> const answer = entry.ask(get("/s/1"));
            cr_expect(answer.has_value(), "%s", coding.c_str());
            cr_expect(answer.has_value() && answer->result_int() == 502,
                      "%s: %u '%s'", coding.c_str(),
                      answer.has_value() ? answer->result_int() : 0,
                      answer.has_value() ? answer->body().c_str() : "");
        }
    }
}

// Guards against bytes of another protocol that are passed on as an answer: no
// request asks for a change of protocol.
Test(upstream_failure, answer_behind_a_change_of_protocol_is_not_passed_on)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            connection.request();
            connection.send("HTTP/1.1 101 Switching Protocols\r\n"
                            "Connection: Upgrade\r\nUpgrade: other\r\n\r\n" +
                            whole_answer_text("other"));
            connection.closed();
        });
    running_server entry;
    entry.configure({upstream.port()}, not_repeatable);
    std::optional<answer_text> const answer =
        entry.ask(get("/s/1", "Connection: Upgrade\r\nUpgrade: other\r\n"));
    cr_assert(answer.has_value());
    cr_expect_eq(answer->result_int(), 502, "%u", answer->result_int());
    cr_expect_eq(outcome_of(answer), "unknown");
}
