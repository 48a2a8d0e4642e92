#include "bilberrylead/http/http_counters.hpp"
#include "tests/unit/http/pipelining_fixture.hpp"

#include <algorithm>
#include <random>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

/// An answer that promises more than comes; the connection must end then.
constexpr char const* cut_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab";

/// Bytes that the host has set aside for bodies, or holds of answers.
std::size_t memory_held(running_server& entry)
{
    std::size_t held = 0;
    entry.call(
        [&entry, &held]
        {
            http_counters const& counters = entry.server->connection_counters();
            held = counters.memory_in_use + counters.held_answer_bytes;
        });
    return held;
}

/// Sends a cut answer to targets that end with "cut", and ends then.
std::function<void(wire&, int)>
cutting(std::function<std::string(request_text const&)> answer)
{
    return [answer = std::move(answer)](wire& connection, int)
    {
        bool cut = false;
        while (not cut)
        {
            std::optional<request_text> const request = connection.request();
            if (not request.has_value())
            {
                return;
            }
            cut = request->target().ends_with("cut");
            connection.send(cut ? cut_answer : answer(*request));
        }
    };
}

} // namespace

// A held answer that breaks off must not cost the requests behind it.
Test(pipelining, held_answer_that_breaks_off_becomes_502_and_the_rest_arrive)
{
    pipelined_pair subject(pipelining(8),
                           cutting(
                               [](request_text const& request)
                               {
                                   std::this_thread::sleep_for(100ms);
                                   return whole_answer_text(
                                       std::string(request.target()));
                               }));
    subject.caller->send(get("/s/1") + get("/s/2cut") + get("/s/3"));
    cr_assert_eq(body_of(*subject.caller), "/s/1");
    std::optional<answer_text> const broken = subject.caller->answer();
    cr_assert(broken.has_value());
    cr_assert_eq(broken->result_int(), 502);
    cr_assert_eq(body_of(*subject.caller), "/s/3");
}

// What does not fit into the bound must still arrive whole, in its place.
Test(pipelining, answer_above_the_bound_is_streamed_in_its_turn)
{
    std::string const large(std::size_t{1} << 20U, 'x');
    pipelined_pair subject(
        pipelining(8, 20000),
        answering(
            [&large](request_text const& request)
            {
                bool const is_large = request.target() == "/s/2";
                return whole_answer_text(
                    is_large ? large : std::string(request.target()));
            }));
    subject.caller->send(get("/s/1") + get("/s/2") + get("/s/3"));
    cr_assert_eq(body_of(*subject.caller), "/s/1");
    cr_assert(body_of(*subject.caller) == large);
    cr_assert_eq(body_of(*subject.caller), "/s/3");
}

// An answer must never be lost, doubled or swapped, wherever the bytes of
// the requests are cut and however the answers end.
Test(pipelining, every_mixture_of_outcomes_keeps_the_order)
{
    pipelined_pair subject(
        pipelining(4, 1024),
        cutting(
            [](request_text const& request)
            {
                std::string const target(request.target());
                return target.ends_with("chunks")
                           ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n1\r\n/\r\n0\r\n\r\n"
                           : whole_answer_text(target +
                                               std::string(request.body()));
            }));
    std::mt19937 random(20261204);
    for (int stream = 0; stream < 300; ++stream)
    {
        std::string text;
        std::vector<std::string> expected;
        std::size_t const count = 1 + random() % 8;
        for (std::size_t number = 0; number < count; ++number)
        {
            std::string const target =
                "/s/" + std::to_string(stream) + "/" + std::to_string(number);
            switch (random() % 4)
            {
            case 0:
                text += post(target, "body");
                expected.push_back(target + "body");
                break;
            case 1:
                text += get(target + "chunks");
                expected.emplace_back("/");
                break;
            default:
                text += get(target);
                expected.push_back(target);
                break;
            }
        }
        wire caller = subject.entry.connect();
        std::size_t const place = random() % text.size();
        caller.send(text.substr(0, place));
        std::this_thread::sleep_for(std::chrono::microseconds(random() % 500));
        caller.send(text.substr(place));
        for (std::string const& body : expected)
        {
            cr_assert_eq(body_of(caller), body);
        }
    }
}

// An answer that breaks off may end the connection or become a 502, but the
// answers that arrive must be the right ones, and none may be missing on an
// open connection.
Test(pipelining, answers_that_break_off_never_swap_the_others)
{
    pipelined_pair subject(pipelining(4, 1024),
                           cutting(
                               [](request_text const& request)
                               {
                                   return whole_answer_text(
                                       std::string(request.target()));
                               }));
    std::mt19937 random(20261204);
    for (int stream = 0; stream < 200; ++stream)
    {
        std::string text;
        std::vector<std::string> targets;
        std::size_t const count = 2 + random() % 6;
        for (std::size_t number = 0; number < count; ++number)
        {
            std::string target =
                "/s/" + std::to_string(stream) + "/" + std::to_string(number);
            target += random() % 8 == 0 ? "cut" : "";
            text += get(target);
            targets.push_back(target);
        }
        wire caller = subject.entry.connect();
        caller.send(text);
        bool open = true;
        for (std::string const& target : targets)
        {
            std::optional<answer_text> const answer =
                open ? caller.answer() : std::nullopt;
            open = open && answer.has_value();
            // Only an answer of its own that is cut may end the connection.
            cr_assert(open || answer.has_value() ||
                      std::any_of(targets.begin(), targets.end(),
                                  [](std::string const& each)
                                  {
                                      return each.ends_with("cut");
                                  }));
            if (answer.has_value() && answer->result_int() == 200)
            {
                cr_assert_eq(answer->body(), target);
            }
            if (answer.has_value() && answer->result_int() == 502)
            {
                cr_assert(target.ends_with("cut"));
            }
        }
    }
}

// Without memory for requests ahead or for answers, each request must still
// be answered in its turn, and all memory must be returned.
Test(pipelining, full_memory_delays_answers_and_loses_none)
{
    server_settings settings = pipelining(8);
    settings.memory = 2 * settings.piece + 8;
    pipelined_pair subject(settings,
                           [](wire& connection, int)
                           {
                               echo(connection);
                           });
    std::string text;
    std::vector<std::string> targets;
    for (int number = 0; number < 40; ++number)
    {
        targets.push_back("/s/" + std::to_string(number));
        text += get(targets.back());
    }
    subject.caller->send(text);
    subject.expect_targets(targets);
    subject.caller->socket.close();
    cr_assert(eventually(
        [&subject]
        {
            return memory_held(subject.entry) == 0;
        }));
}

// A caller that does not read must be cut by the write timeout, and must
// not hold its requests' memory for longer.
Test(pipelining, caller_that_does_not_read_is_cut_and_frees_its_memory)
{
    std::string const large(std::size_t{32} << 20U, 'x');
    server_settings settings = pipelining(4);
    settings.write_timeout = 200ms;
    pipelined_pair subject(settings, answering(
                                         [&large](request_text const&)
                                         {
                                             return whole_answer_text(large);
                                         }));
    subject.caller->send(get("/s/1") + get("/s/2") + get("/s/3"));
    cr_assert(eventually(
        [&subject]
        {
            std::uint64_t ended = 0;
            std::size_t held = 1;
            subject.entry.call(
                [&subject, &ended, &held]
                {
                    http_counters const& counters =
                        subject.entry.server->connection_counters();
                    ended = counters.connections_cut_short;
                    held = counters.memory_in_use;
                });
            return ended == 1 && held == 0;
        }));
}
