#include "tests/unit/http/http_fixture.hpp"

#include <fmt/format.h>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

constexpr std::size_t large = std::size_t{5} << 20U;

/// Every byte depends on its place, so that a piece that is lost, doubled
/// or swapped shows.
std::string patterned(std::size_t size)
{
    std::string text(size, '\0');
    for (std::size_t place = 0; place < size; ++place)
    {
        text[place] = static_cast<char>('a' + (place * 31 + place / 977) % 26);
    }
    return text;
}

std::string chunked(std::string const& body)
{
    return fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
}

/// Sends `answer` to every request.
std::function<void(wire&, int)> always(std::string answer)
{
    return [answer = std::move(answer)](wire& connection, int)
    {
        while (connection.request())
        {
            connection.send(answer);
        }
    };
}

} // namespace

Test(streaming, large_answers_arrive_whole_in_every_framing)
{
    std::string const body = patterned(large);
    std::vector<std::string> const answers = {
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
            chunked(body)};
    for (std::string const& answer : answers)
    {
        fake_upstream upstream(always(answer));
        running_server entry;
        entry.configure({upstream.port()});
        std::optional<answer_text> const got = entry.ask(get("/s/x"));
        cr_assert(got.has_value());
        cr_assert(got->body() == body);
    }
}

// On a link of a few Mbit/s a download is passed on in turns with other
// answers; none of its bytes may be lost or swapped by that, nor may the
// connection fall out of step.
Test(streaming, download_on_a_slow_link_arrives_whole)
{
    std::string const body = patterned(std::size_t{128} << 10U);
    fake_upstream upstream(always(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body));
    server_settings settings;
    settings.link_rate = 200'000;
    running_server entry(settings);
    entry.configure({upstream.port()});
    for (int number = 0; number < 2; ++number)
    {
        std::optional<answer_text> const got = entry.ask(get("/s/x"));
        cr_assert(got.has_value());
        cr_assert(got->body() == body);
    }
    std::uint64_t paced = 0;
    entry.call(
        [&entry, &paced]
        {
            paced = entry.server->connection_counters().pieces_paced;
        });
    cr_expect_gt(paced, 0U, "a link of 200 KB/s is slower than loopback");
}

Test(streaming, large_requests_arrive_whole_in_every_framing)
{
    std::string const body = patterned(large);
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry;
    entry.configure({upstream.port()},
                    [](config::service& service)
                    {
                        service.largest_request = 2 * large;
                    });
    std::optional<answer_text> const measured = entry.ask(post("/s/x", body));
    cr_assert(measured.has_value());
    cr_assert(measured->body() == "/s/x" + body);
    std::optional<answer_text> const in_chunks =
        entry.ask("POST /s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                  "chunked\r\n\r\n" +
                  chunked(body));
    cr_assert(in_chunks.has_value());
    cr_assert(in_chunks->body() == "/s/x" + body);
}

Test(streaming, answers_without_body_keep_the_connection_in_step)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            while (std::optional<request_text> const request =
                       connection.request())
            {
                bool const head =
                    request->method() == boost::beast::http::verb::head;
                connection.send(head ? "HTTP/1.1 200 OK\r\n"
                                       "Content-Length: 7\r\n\r\n"
                                     : "HTTP/1.1 204 No Content\r\n\r\n");
            }
        });
    running_server entry;
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    for (int round = 0; round < 3; ++round)
    {
        caller.send("HEAD /s/x HTTP/1.1\r\nHost: h\r\n\r\n");
        std::optional<answer_text> const head = caller.answer(true);
        cr_assert_eq(std::string((*head)["Content-Length"]), "7");
        caller.send(get("/s/x"));
        cr_assert_eq(caller.answer()->result_int(), 204);
    }
    cr_assert_eq(upstream.connections.load(), 1);
}

Test(streaming, old_caller_gets_its_answer_and_the_end_of_connection)
{
    fake_upstream upstream(
        always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "5\r\nhello\r\n0\r\n\r\n"));
    running_server entry;
    entry.configure({upstream.port()});
    std::optional<answer_text> const answer =
        entry.ask("GET /s/x HTTP/1.0\r\n\r\n");
    cr_assert(answer.has_value());
    cr_assert_eq(answer->body(), "hello");
}

Test(streaming, caller_that_waits_for_continue_hears_it)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry;
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send("POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                "Expect: 100-continue\r\n\r\n");
    std::string line;
    boost::asio::read_until(caller.socket, boost::asio::dynamic_buffer(line),
                            "\r\n\r\n");
    cr_assert(line.starts_with("HTTP/1.1 100 "));
    caller.send("hi");
    cr_assert_eq(caller.answer()->body(), "/s/xhi");
}

Test(streaming, upstream_sees_deadline_and_id_but_no_connection_headers)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            while (std::optional<request_text> const request =
                       connection.request())
            {
                std::string seen(request->at("Bilberry-Request-Id"));
                int const left =
                    std::stoi(std::string(request->at("Bilberry-Deadline-Ms")));
                seen += left > 0 && left <= 700 ? " in time" : " wrong";
                seen += request->count("X-Hop") + request->count("Connection")
                            ? " dirty"
                            : " clean";
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                                std::to_string(seen.size()) + "\r\n\r\n" +
                                seen);
            }
        });
    running_server entry;
    entry.configure({upstream.port()});
    std::optional<answer_text> const answer =
        entry.ask(get("/s/x", "Bilberry-Deadline-Ms: 700\r\nX-Hop: 1\r\n"
                              "Connection: keep-alive, X-Hop\r\n"));
    std::string const id((*answer)["Bilberry-Request-Id"]);
    cr_assert_eq(answer->body(), id + " in time clean");
}

Test(streaming, drain_cuts_no_download_and_ends_when_it_has_ended)
{
    // The operator drains the entry host while a bundle is half through.
    // The bundle arrives whole, a caller that still comes is served and
    // its connection ended, and only then is the drain reported.
    std::string const body = patterned(large);
    std::promise<void> half_sent;
    std::promise<void> go_on;
    fake_upstream upstream(
        [&body, &half_sent, &go_on](wire& connection, int place)
        {
            if (place > 0)
            {
                echo(connection);
                return;
            }
            connection.request();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" +
                            body.substr(0, large / 2));
            half_sent.set_value();
            go_on.get_future().wait();
            connection.send(body.substr(large / 2));
        });
    server_settings settings;
    settings.entry.steering_ttl = 100ms;
    settings.entry.drain_quiet = 50ms;
    running_server entry(settings);
    std::atomic<bool> drained = false;
    std::promise<void> told;
    entry.outside = [&drained, &told](entry::effect const& decided)
    {
        if (std::holds_alternative<entry::drained>(decided))
        {
            drained = true;
            told.set_value();
        }
    };
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/bundle"));
    half_sent.get_future().wait();
    entry.dispatch(entry::drain_requested{});
    cr_assert_eq(entry.ask(get("/ready"))->result_int(), 503);
    std::optional<answer_text> const steering =
        entry.ask(get("/steering?service=s"));
    cr_assert(steering->body().find("\"e1\"") == std::string::npos);
    std::optional<answer_text> const late = entry.ask(get("/s/late"));
    cr_assert_eq(late->body(), "/s/late");
    cr_assert_eq(std::string((*late)["Connection"]), "close");
    cr_assert_not(drained);
    go_on.set_value();
    std::optional<answer_text> const bundle = caller.answer();
    cr_assert(bundle.has_value());
    cr_assert(bundle->body() == body);
    told.get_future().wait();
}
