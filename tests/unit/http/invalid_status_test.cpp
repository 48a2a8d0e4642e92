#include "tests/unit/http/claim_recorder.hpp"
#include "tests/unit/http/pipelining_fixture.hpp"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <utility>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

constexpr std::array<char const*, 6> invalid_statuses = {"000", "001", "099",
                                                         "600", "700", "999"};
constexpr std::array<char const*, 2> framings = {"Content-Length: 3\r\n",
                                                 "X-Of: b\r\n"};

/// A complete answer; without a length it ends with the connection.
std::string answer_of(std::string const& status, std::string const& fields)
{
    return "HTTP/1.1 " + status + " Trouble\r\n" + fields + "\r\nown";
}

/// Sends `text` to the first request of each connection and ends it.
std::function<void(wire&, int)> sending(std::string text)
{
    return [text = std::move(text)](wire& connection, int)
    {
        if (connection.request().has_value())
        {
            connection.send(text);
        }
    };
}

void runs_once(config::service& service)
{
    service.idempotent = false;
}

void expect_unknown(std::optional<answer_text> const& answer,
                    std::string const& sent)
{
    cr_assert(answer.has_value(), "%s", sent.c_str());
    cr_expect_eq(answer->result_int(), 502, "%u for %s", answer->result_int(),
                 sent.c_str());
    cr_expect((*answer)["Bilberry-Outcome"] == "unknown", "%s", sent.c_str());
}

/// Calls `check` with each answer.
template <class Check>
void for_each_answer(Check const& check)
{
    for (std::string const status : invalid_statuses)
    {
        for (std::string const fields : framings)
        {
            check(answer_of(status, fields));
        }
    }
}

} // namespace

// Guards against an answer whose status has no meaning and that is passed on.
Test(invalid_status, is_an_unknown_outcome_for_what_runs_once)
{
    for_each_answer(
        [](std::string const& sent)
        {
            fake_upstream upstream(sending(sent));
            running_server entry;
            entry.configure({upstream.port()}, runs_once);
            expect_unknown(entry.ask(post("/s/x", "body")), sent);
            expect_unknown(
                entry.ask("POST /s/x HTTP/1.0\r\nContent-Length: 4\r\n\r\n"
                          "body"),
                sent);
            cr_expect_eq(upstream.connections.load(), 2);
        });
}

// Guards against the same for work that may be repeated, which is tried again.
Test(invalid_status, is_no_answer_to_what_may_be_repeated)
{
    for_each_answer(
        [](std::string const& sent)
        {
            fake_upstream upstream(
                [&sent](wire& connection, int place)
                {
                    if (place > 0)
                    {
                        echo(connection);
                    }
                    else if (connection.request().has_value())
                    {
                        connection.send(sent);
                    }
                });
            running_server entry;
            entry.configure({upstream.port()});
            std::optional<answer_text> const answer = entry.ask(get("/s/x"));
            cr_assert(answer.has_value(), "%s", sent.c_str());
            cr_expect_eq(answer->result_int(), 200, "%u for %s",
                         answer->result_int(), sent.c_str());
            cr_expect_eq(answer->body(), "/s/x");
            cr_expect_eq(upstream.connections.load(), 2);
        });
}

// Guards against such an answer that is recorded for a key and given out for as
// long as the record lives.
Test(invalid_status, is_not_recorded_for_a_key)
{
    for_each_answer(
        [](std::string const& sent)
        {
            fake_upstream upstream(sending(sent));
            claim_recorder records;
            running_server entry;
            records.serve(entry);
            entry.configure({upstream.port()},
                            [](config::service& service)
                            {
                                service.guarded = true;
                            });
            expect_unknown(
                entry.ask(post("/s/x", "body", "Idempotency-Key: k\r\n")),
                sent);
            cr_expect_eq(records.recorded.load(), 0, "%s", sent.c_str());
            cr_expect_eq(records.unknown.load(), 1, "%s", sent.c_str());
        });
}

// Guards against such an answer that is held for its turn and passed on then.
Test(invalid_status, in_front_of_pipelined_requests_concerns_its_own_alone)
{
    for (std::string const status : invalid_statuses)
    {
        std::string const sent = answer_of(status, framings.front());
        pipelined_pair pair(pipelining(8),
                            answering(
                                [&sent](request_text const& request)
                                {
                                    std::string const target(request.target());
                                    return target == "/s/2"
                                               ? sent
                                               : whole_answer_text(target);
                                }));
        pair.caller->send(get("/s/1") + get("/s/2") + get("/s/3"));
        cr_expect_eq(body_of(*pair.caller), "/s/1");
        expect_unknown(pair.caller->answer(), sent);
        cr_expect_eq(body_of(*pair.caller), "/s/3");
    }
}

// Guards against an upstream that says "not run" in such an answer and is
// believed, so that a request runs twice.
Test(invalid_status, promises_beside_it_are_not_believed)
{
    server_settings settings;
    settings.names.not_run_needs_503 = false;
    for (std::string const status : invalid_statuses)
    {
        std::string const sent =
            answer_of(status, "Content-Length: 3\r\nBilberry-Not-Run: 1\r\n");
        fake_upstream one(sending(sent));
        fake_upstream other(sending(sent));
        running_server entry(settings);
        entry.configure({one.port(), other.port()}, runs_once);
        expect_unknown(entry.ask(post("/s/x", "body")), sent);
        cr_expect_eq(one.connections + other.connections, 1, "%s",
                     sent.c_str());
    }
}

// Guards against a status at the edge of the range that is taken for an invalid
// one.
Test(invalid_status, statuses_within_the_range_are_passed_on)
{
    for (std::string const status : {"200", "299", "399", "499", "599"})
    {
        fake_upstream upstream(sending(answer_of(status, framings.front())));
        running_server entry;
        entry.configure({upstream.port()}, runs_once);
        std::optional<answer_text> const answer = entry.ask(get("/s/x"));
        cr_assert(answer.has_value());
        cr_expect(std::to_string(answer->result_int()) == status);
        cr_expect_eq(answer->body(), "own");
    }
}
