#include "tests/unit/http/http_fixture.hpp"

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

/// A deployment with headers of its own.
server_settings with_own_names()
{
    server_settings settings;
    settings.names.request_id = "X-Id";
    settings.names.answer_mark = "X-Mark";
    settings.names.expected_upstream = "X-Expect";
    settings.names.caller_names_request = true;
    settings.names.fractional_retry_after = true;
    settings.own_pages = false;
    return settings;
}

std::string get_with_id(std::string const& target, std::string const& id)
{
    return "GET " + target + " HTTP/1.1\r\nHost: s\r\nX-Id: " + id + "\r\n\r\n";
}

} // namespace

// An upstream answers an earlier request twice; the second answer arrives
// where the next one's is due, and the own one behind it. The work may not be
// repeated, so its only answer must not be thrown away with the stale one.
Test(named_headers, own_answer_behind_a_stale_one_reaches_the_caller)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            std::optional<request_text> const request = connection.request();
            if (!request.has_value())
            {
                return;
            }
            std::string const id((*request)["Bilberry-Request-Id"]);
            connection.send(
                whole_answer_text("stale", "Bilberry-Request-Id: entry-9\r\n"));
            connection.send(whole_answer_text(
                "own", "Bilberry-Request-Id: " + id + "\r\n"));
            connection.closed();
        });
    running_server entry;
    entry.configure({upstream.port()},
                    [](config::service& service)
                    {
                        service.idempotent = false;
                    });
    std::optional<answer_text> const answer = entry.ask(get("/s/1"));
    cr_assert(answer.has_value());
    cr_expect_eq(answer->body(), "own");
}

// A faulty upstream sends a success that is not its own: without its mark,
// or in a coding that nobody asked for. The caller must not take it for one.
Test(named_headers, success_without_the_upstreams_mark_is_no_success)
{
    for (std::string const headers :
         {"", "X-Mark: m\r\nContent-Encoding: gzip\r\n"})
    {
        fake_upstream upstream(
            [headers](wire& connection, int)
            {
                while (connection.request().has_value())
                {
                    connection.send(whole_answer_text("rotten", headers));
                }
            });
        running_server entry(with_own_names());
        entry.configure({upstream.port()});
        std::optional<answer_text> const answer =
            entry.ask(get_with_id("/s/1", "a1"));
        cr_assert(answer.has_value());
        cr_expect_geq(answer->result_int(), 500U);
        cr_expect(answer->body().find("rotten") == std::string::npos);
    }
}

Test(named_headers, callers_id_and_the_upstreams_id_go_with_the_request)
{
    std::promise<std::string> seen;
    fake_upstream upstream(
        [&seen](wire& connection, int)
        {
            std::optional<request_text> const request = connection.request();
            if (!request.has_value())
            {
                return;
            }
            seen.set_value(std::string((*request)["X-Id"]) + " " +
                           std::string((*request)["X-Expect"]));
            connection.send(
                whole_answer_text("own", "X-Mark: m\r\nX-Id: a1\r\n"));
            connection.closed();
        });
    running_server entry(with_own_names());
    entry.configure({upstream.port()});
    std::optional<answer_text> const answer =
        entry.ask(get_with_id("/s/1", "a1"));
    cr_assert(answer.has_value());
    cr_expect_eq(answer->body(), "own");
    cr_expect_eq((*answer)["X-Mark"], "m");
    std::string const sent = seen.get_future().get();
    cr_expect(sent.starts_with("a1 "));
    cr_expect_gt(sent.size(), 3U, "no upstream was named");
}

// The address belongs to another upstream by now. It turns the request away
// unheard (421), so even work that may not be repeated goes elsewhere.
Test(named_headers, request_for_an_upstream_that_is_gone_runs_at_another)
{
    fake_upstream stranger(
        [](wire& connection, int)
        {
            while (connection.request().has_value())
            {
                connection.send("HTTP/1.1 421 Misdirected Request\r\n"
                                "Content-Length: 0\r\n\r\n");
            }
        });
    fake_upstream upstream(
        [](wire& connection, int)
        {
            while (connection.request().has_value())
            {
                connection.send(whole_answer_text("own", "X-Mark: m\r\n"));
            }
        });
    running_server entry(with_own_names());
    entry.configure({stranger.port(), upstream.port()},
                    [](config::service& service)
                    {
                        service.idempotent = false;
                    });
    for (int number = 0; number < 4; ++number)
    {
        std::optional<answer_text> const answer =
            entry.ask(get_with_id("/s/1", "a" + std::to_string(number)));
        cr_assert(answer.has_value());
        cr_expect_eq(answer->body(), "own");
    }
}
