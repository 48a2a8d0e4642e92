#include "tests/unit/http/claim_recorder.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <poll.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

/// More than the kernel takes in for both sides while nobody reads.
constexpr std::size_t blocking_size = std::size_t{8} << 20U;
/// More than a receiver takes in without reading, less than a sender does.
constexpr std::size_t buffered_size = std::size_t{600} << 10U;

/// How an upstream ends a connection on which it has not read all.
enum class ending
{
    /// With a reset.
    reset,
    /// By closing it; the unread bytes make that a reset.
    closed,
    /// It ends its own direction first and resets the connection later.
    half_closed,
    /// It ends its own direction and waits for the entry host to close.
    half_closed_only,
};

constexpr std::array<ending, 3> endings = {ending::reset, ending::closed,
                                           ending::half_closed};

constexpr char const* without_length = "HTTP/1.1 200 OK\r\nX-Of: b\r\n\r\npart";

/// Reads the head of a request alone, so that its body is still on its way;
/// false if none comes.
bool read_head(wire& connection)
{
    boost::beast::http::request_parser<boost::beast::http::buffer_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    boost::beast::http::read_header(connection.socket, connection.buffer,
                                    parser, error);
    return !error;
}

void end_connection(wire& connection, ending how)
{
    boost::system::error_code error;
    if (how == ending::half_closed || how == ending::half_closed_only)
    {
        connection.socket.shutdown(tcp::socket::shutdown_send, error);
        std::this_thread::sleep_for(10ms);
    }
    if (how == ending::half_closed_only)
    {
        ::pollfd state{connection.socket.native_handle(), 0, 0};
        ::poll(&state, 1, 20'000);
        return;
    }
    if (how == ending::reset)
    {
        connection.socket.set_option(boost::asio::socket_base::linger(true, 0),
                                     error);
    }
    connection.socket.close(error);
}

/// Answers each upload with `text` as soon as it has read the head, and ends
/// the connection while the body is on its way.
std::function<void(wire&, int)> early(std::string text, ending how,
                                      std::chrono::milliseconds pause = 0ms)
{
    return [text = std::move(text), how, pause](wire& connection, int)
    {
        if (!read_head(connection))
        {
            return;
        }
        connection.send(text);
        boost::system::error_code error;
        while (connection.socket.available(error) == 0 && !error)
        {
            std::this_thread::sleep_for(1ms);
        }
        std::this_thread::sleep_for(pause);
        end_connection(connection, how);
    };
}

void takes_large(config::service& service)
{
    service.idempotent = false;
    service.largest_request = 2 * blocking_size;
}

std::string upload(std::string const& version, std::size_t size)
{
    return "POST /s/x HTTP/" + version +
           "\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: " +
           std::to_string(size) + "\r\n\r\n" + std::string(size, 'u');
}

/// Sends an upload and reads its answer meanwhile.
std::optional<answer_text> ask(running_server& entry, std::string const& text)
{
    wire caller = entry.connect();
    std::thread sender(
        [&caller, &text]
        {
            caller.send(text);
        });
    std::optional<answer_text> answer = caller.answer();
    ::shutdown(caller.socket.native_handle(), SHUT_RDWR);
    sender.join();
    return answer;
}

/// The upstream's answer, whole or in part, is never the caller's whole one.
void expect_not_passed_on(std::optional<answer_text> const& answer)
{
    cr_expect(!answer.has_value() || answer->result_int() == 502, "%u '%s'",
              answer.has_value() ? answer->result_int() : 0,
              answer.has_value() ? answer->body().c_str() : "");
    cr_expect(!answer.has_value() ||
              (*answer)["Bilberry-Outcome"] == "unknown");
}

} // namespace

// Guards against a reset that a failed write of the request has used up, so
// that the part of an answer before it seems to end with its connection.
Test(early_answer, part_before_a_reset_is_not_passed_on_as_whole)
{
    std::string const whole(without_length);
    std::size_t const head = whole.find("part");
    for (std::string const version : {"1.1", "1.0"})
    {
        for (std::size_t const sent :
             {std::size_t{0}, std::size_t{9}, head - 1, head, whole.size()})
        {
            for (ending const how : endings)
            {
                for (std::chrono::milliseconds const pause : {0ms, 3ms, 30ms})
                {
                    fake_upstream upstream(
                        early(whole.substr(0, sent), how, pause));
                    running_server entry;
                    entry.configure({upstream.port()}, takes_large);
                    expect_not_passed_on(
                        ask(entry, upload(version, blocking_size)));
                }
            }
        }
    }
}

// Guards against the same while the entry host waits for more of the request.
Test(early_answer, part_before_a_reset_is_not_whole_when_the_caller_is_slower)
{
    for (ending const how : endings)
    {
        std::atomic<bool> ended = false;
        std::function<void(wire&, int)> const answer =
            early(without_length, how);
        fake_upstream upstream(
            [&ended, &answer](wire& connection, int place)
            {
                answer(connection, place);
                ended = true;
            });
        running_server entry;
        entry.configure({upstream.port()}, takes_large);
        std::string const text = upload("1.1", buffered_size);
        wire caller = entry.connect();
        caller.send(text.substr(0, text.size() / 2));
        while (!ended)
        {
            std::this_thread::sleep_for(1ms);
        }
        caller.send(text.substr(text.size() / 2));
        expect_not_passed_on(caller.answer());
    }
}

// Guards against such a part that is recorded for a key and given out as the
// whole answer for as long as the record lives.
Test(early_answer, part_before_a_reset_is_not_recorded_for_a_key)
{
    for (ending const how : endings)
    {
        fake_upstream upstream(early(without_length, how));
        claim_recorder records;
        running_server entry;
        records.serve(entry);
        entry.configure({upstream.port()},
                        [](config::service& service)
                        {
                            takes_large(service);
                            service.guarded = true;
                        });
        std::optional<answer_text> const answer =
            ask(entry, upload("1.1", blocking_size));
        cr_expect(answer.has_value());
        expect_not_passed_on(answer);
        cr_expect_eq(records.recorded.load(), 0);
    }
}

// Guards against an answer that ends in good order before its upstream has
// received the whole request: whatever ended it there, it did not read all.
Test(early_answer, end_before_the_request_has_arrived_is_not_the_answers_end)
{
    for (std::string const version : {"1.1", "1.0"})
    {
        fake_upstream upstream(early(without_length, ending::half_closed_only));
        running_server entry;
        entry.configure({upstream.port()}, takes_large);
        expect_not_passed_on(ask(entry, upload(version, buffered_size)));
    }
}

// Guards against a refusal that is lost because the write of its request fails:
// its own frame shows that it is whole.
Test(early_answer, that_shows_its_end_is_passed_on_after_a_failed_write)
{
    for (std::string const text :
         {"HTTP/1.1 413 Large\r\nContent-Length: 3\r\n\r\nown",
          "HTTP/1.1 413 Large\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nown\r\n0\r\n\r\n"})
    {
        for (ending const how : endings)
        {
            fake_upstream upstream(early(text, how));
            running_server entry;
            entry.configure({upstream.port()}, takes_large);
            std::optional<answer_text> const answer =
                ask(entry, upload("1.1", blocking_size));
            cr_assert(answer.has_value());
            cr_expect_eq(answer->result_int(), 413);
            cr_expect_eq(answer->body(), "own");
        }
    }
}

// Guards against a "not run" that is lost because its body has no end that can
// be known: the head says it, and the body is not passed on.
Test(early_answer, not_run_without_a_length_is_believed_after_a_failed_write)
{
    for (ending const how : endings)
    {
        fake_upstream upstream(early("HTTP/1.1 503 Busy\r\n"
                                     "Bilberry-Not-Run: 1\r\n\r\npart",
                                     how));
        running_server entry;
        entry.configure({upstream.port()}, takes_large);
        std::optional<answer_text> const answer =
            ask(entry, upload("1.1", blocking_size));
        cr_assert(answer.has_value());
        cr_expect_eq(answer->result_int(), 503);
        cr_expect((*answer)["Bilberry-Outcome"] == "not-run");
    }
}

// Guards against a part that passes for a whole answer because it has a frame
// that nobody checks.
Test(early_answer, broken_frame_before_a_reset_is_broken_off)
{
    for (std::string const text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "4\r\npart\r\n"})
    {
        for (ending const how : endings)
        {
            fake_upstream upstream(early(text, how));
            running_server entry;
            entry.configure({upstream.port()}, takes_large);
            cr_expect_not(ask(entry, upload("1.1", blocking_size)).has_value());
        }
    }
}

// Guards against an answer without a length that is broken off although its
// upstream has read the whole request.
Test(early_answer, end_behind_a_request_that_was_read_is_the_answers_end)
{
    for (std::size_t const size : {std::size_t{4}, blocking_size})
    {
        fake_upstream upstream(
            [](wire& connection, int)
            {
                if (connection.request().has_value())
                {
                    connection.send(without_length);
                }
            });
        running_server entry;
        entry.configure({upstream.port()}, takes_large);
        for (int round = 0; round < 5; ++round)
        {
            std::optional<answer_text> const answer =
                ask(entry, upload("1.1", size));
            cr_assert(answer.has_value());
            cr_expect_eq(answer->result_int(), 200);
            cr_expect_eq(answer->body(), "part");
        }
    }
}
