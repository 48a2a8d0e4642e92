#include "tests/unit/http/http_fixture.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

constexpr char const* old_request = "GET /s/x HTTP/1.0\r\n\r\n";
constexpr char const* chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Sends a request and reads as far as `text` in its answer.
void begin_answer(wire& caller, std::string const& text)
{
    caller.send(old_request);
    std::string received;
    boost::asio::read_until(caller.socket,
                            boost::asio::dynamic_buffer(received), text);
}

/// Reads the rest of an answer and expects it to end with a reset.
void expect_reset(wire& caller)
{
    boost::system::error_code error;
    std::vector<char> piece(std::size_t{64} << 10U);
    while (!error)
    {
        caller.socket.read_some(boost::asio::buffer(piece), error);
    }
    cr_expect(error == boost::asio::error::connection_reset, "%s",
              error.message().c_str());
}

/// Waits until the entry host has no caller any more.
void await_no_caller(running_server& entry)
{
    std::size_t open = 1;
    while (open > 0)
    {
        entry.call(
            [&entry, &open]
            {
                open = entry.server->connection_counters().caller_connections;
            });
    }
}

} // namespace

// Guards against an answer whose end an HTTP/1.0 caller takes from the end of
// its connection, and that seems whole because the entry host stops.
Test(old_caller, answer_cut_by_a_stop_ends_with_a_reset)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            connection.request();
            connection.send(std::string(chunked_head) + "4\r\npart\r\n");
            connection.closed();
        });
    running_server entry;
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    begin_answer(caller, "part");
    entry.call(
        [&entry]
        {
            entry.server.reset();
        });
    expect_reset(caller);
}

// Guards against the same where the caller has read too slowly.
Test(old_caller, answer_cut_by_the_write_timeout_ends_with_a_reset)
{
    std::string const bundle(std::size_t{64} << 20U, 'd');
    fake_upstream upstream(
        [&bundle](wire& connection, int)
        {
            connection.request();
            connection.send(std::string(chunked_head) + "4000000\r\n" + bundle +
                            "\r\n0\r\n\r\n");
        });
    server_settings settings;
    settings.write_timeout = 200ms;
    running_server entry(settings);
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    begin_answer(caller, "\r\n\r\n");
    await_no_caller(entry);
    expect_reset(caller);
}

// Guards against an answer that is lost because its end is a reset, too.
Test(old_caller, whole_answer_ends_with_a_plain_close)
{
    std::string const body(std::size_t{4} << 20U, 'd');
    fake_upstream upstream(
        [&body](wire& connection, int)
        {
            while (connection.request())
            {
                connection.send(std::string(chunked_head) + "400000\r\n" +
                                body + "\r\n0\r\n\r\n");
            }
        });
    running_server entry;
    entry.configure({upstream.port()});
    for (int round = 0; round < 5; ++round)
    {
        wire caller = entry.connect();
        caller.send(old_request);
        std::this_thread::sleep_for(20ms);
        std::optional<answer_text> const answer = caller.answer();
        cr_assert(answer.has_value());
        cr_expect(answer->body() == body);
    }
}
