#include "tests/unit/http/http_fixture.hpp"

#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

constexpr std::size_t piece_size = std::size_t{64} << 10U;
/// More than a reader that holds what it cannot parse yet may take.
constexpr std::size_t most_sent = std::size_t{64} << 20U;
/// What sockets on both sides hold without a reader, with room to spare.
constexpr std::size_t most_taken = std::size_t{24} << 20U;

std::vector<std::string> const endless_framings = {
    // An extension of a chunk's size.
    "1;x=",
    // A field behind the last chunk.
    "0\r\nX: ",
};

server_settings patient_settings()
{
    server_settings settings;
    settings.body_timeout = 20s;
    settings.linger = 100ms;
    return settings;
}

/// Sends bytes of one letter until the other side answers or closes. Returns
/// how many were sent.
std::size_t send_without_end(wire& connection)
{
    std::string const piece(piece_size, 'a');
    std::size_t sent = 0;
    boost::system::error_code error;
    while (!error && sent < most_sent && connection.socket.available() == 0)
    {
        sent += boost::asio::write(connection.socket,
                                   boost::asio::buffer(piece), error);
    }
    return sent;
}

} // namespace

// Guards against an entry host that runs out of memory, and ends with all of
// its requests, since a caller sends framing of a body without end.
Test(endless_framing, of_a_request_is_answered_400_and_not_kept)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry(patient_settings());
    entry.configure({upstream.port()});
    for (std::string const& framing : endless_framings)
    {
        wire caller = entry.connect();
        caller.send("POST /s/x HTTP/1.1\r\nHost: h\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n" +
                    framing);
        std::size_t const sent = send_without_end(caller);
        cr_expect_lt(sent, most_taken, "%s: %zu bytes were taken",
                     framing.c_str(), sent);
        std::optional<answer_text> const answer = caller.answer();
        cr_assert(answer.has_value(), "%s: no answer", framing.c_str());
        cr_expect_eq(answer->result_int(), 400U);
        cr_expect(entry.ask(get("/s/good")).has_value());
    }
}

// Guards against the same by an upstream whose answer never ends.
Test(endless_framing, of_an_answer_ends_the_connection_and_is_not_kept)
{
    for (std::string const& framing : endless_framings)
    {
        std::atomic<std::size_t> sent = 0;
        fake_upstream upstream(
            [&sent, &framing](wire& connection, int)
            {
                while (std::optional<request_text> const request =
                           connection.request())
                {
                    if (request->target() == "/s/good")
                    {
                        connection.send("HTTP/1.1 200 OK\r\n"
                                        "Content-Length: 2\r\n\r\nok");
                        continue;
                    }
                    connection.send("HTTP/1.1 200 OK\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n" +
                                    framing);
                    sent += send_without_end(connection);
                    return;
                }
            });
        running_server entry(patient_settings());
        entry.configure({upstream.port()},
                        [](config::service& service)
                        {
                            service.deadline = 20s;
                        });
        std::optional<answer_text> const answer = entry.ask(get("/s/endless"));
        cr_expect(!answer.has_value() || answer->result_int() == 502U);
        cr_expect(entry.ask(get("/s/good")).has_value());
        cr_expect_lt(sent.load(), most_taken, "%s: %zu bytes were taken",
                     framing.c_str(), sent.load());
    }
}
