#include "tests/unit/http/http_fixture.hpp"

#include "bilberrylead/http/http_counters.hpp"

#include <algorithm>
#include <random>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

server_settings pipelining(std::uint32_t requests,
                           std::size_t answer_bytes = std::size_t{64} << 10U)
{
    server_settings settings;
    settings.pipelining.max_requests = requests;
    settings.pipelining.max_answer_bytes = answer_bytes;
    return settings;
}

/// Waits for a condition for 5 s at most.
template <class Condition>
bool eventually(Condition condition)
{
    for (int round = 0; round < 1000 && !condition(); ++round)
    {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

/// Marks the last digit of a target as seen; true if it is new. A request that
/// is tried again must not be taken for another one.
bool mark(std::atomic<unsigned>& seen, request_text const& request)
{
    unsigned const bit =
        1U << static_cast<unsigned>(request.target().back() - '0');
    return (seen.fetch_or(bit) & bit) == 0;
}

constexpr unsigned seen_1_to_3 = 0b1110;

/// Counts a request, then answers it with its target once `go` is set.
std::function<void(wire&, int)> answer_when(std::atomic<bool>& go,
                                            fake_upstream*& self)
{
    return [&go, &self, seen = std::make_shared<std::atomic<unsigned>>()](
               wire& connection, int)
    {
        while (std::optional<request_text> const request = connection.request())
        {
            self->runs += mark(*seen, *request) ? 1 : 0;
            eventually(
                [&go]
                {
                    return go.load();
                });
            connection.send(whole_answer_text(std::string(request->target())));
        }
    };
}

std::string body_of(wire& caller)
{
    std::optional<answer_text> const answer = caller.answer();
    cr_assert(answer.has_value());
    return answer->body();
}

} // namespace

// A request behind a slow one must not use up its time unread.
Test(pipelining, requests_behind_a_slow_one_run_and_answers_keep_their_order)
{
    std::atomic<unsigned> seen = 0;
    fake_upstream upstream(
        [&seen](wire& connection, int)
        {
            while (std::optional<request_text> const request =
                       connection.request())
            {
                mark(seen, *request);
                if (request->target() == "/s/1")
                {
                    eventually(
                        [&seen]
                        {
                            return seen == seen_1_to_3;
                        });
                }
                connection.send(
                    whole_answer_text(std::string(request->target()) +
                                      (seen == seen_1_to_3 ? "" : "!")));
            }
        });
    running_server entry(pipelining(8));
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + get("/s/2") + get("/s/3"));
    cr_assert_eq(body_of(caller), "/s/1");
    cr_assert(body_of(caller).starts_with("/s/2"));
    cr_assert(body_of(caller).starts_with("/s/3"));
}

// A host that does not enable pipelining must go on as before.
Test(pipelining, when_off_one_request_runs_after_the_other)
{
    std::atomic<bool> go = false;
    fake_upstream* self = nullptr;
    fake_upstream upstream(answer_when(go, self));
    self = &upstream;
    running_server entry;
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + get("/s/2"));
    cr_assert(eventually(
        [&upstream]
        {
            return upstream.runs == 1;
        }));
    std::this_thread::sleep_for(50ms);
    cr_assert_eq(upstream.runs.load(), 1);
    go = true;
    cr_assert_eq(body_of(caller), "/s/1");
    cr_assert_eq(body_of(caller), "/s/2");
}

// One caller must not take more of the host than its window.
Test(pipelining, no_more_requests_than_the_window_run_at_a_time)
{
    std::atomic<bool> go = false;
    fake_upstream* self = nullptr;
    fake_upstream upstream(answer_when(go, self));
    self = &upstream;
    running_server entry(pipelining(2));
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + get("/s/2") + get("/s/3") + get("/s/4"));
    cr_assert(eventually(
        [&upstream]
        {
            return upstream.runs == 2;
        }));
    std::this_thread::sleep_for(50ms);
    cr_assert_eq(upstream.runs.load(), 2);
    go = true;
    for (std::string const target : {"/s/1", "/s/2", "/s/3", "/s/4"})
    {
        cr_assert_eq(body_of(caller), target);
    }
}

// A request with a body could have effects that depend on its order.
Test(pipelining, request_with_a_body_waits_until_it_is_first)
{
    std::atomic<bool> go = false;
    fake_upstream* self = nullptr;
    fake_upstream upstream(answer_when(go, self));
    self = &upstream;
    running_server entry(pipelining(8));
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + post("/s/2", "body") + get("/s/3"));
    cr_assert(eventually(
        [&upstream]
        {
            return upstream.runs == 1;
        }));
    std::this_thread::sleep_for(50ms);
    cr_assert_eq(upstream.runs.load(), 1);
    go = true;
    for (std::string const target : {"/s/1", "/s/2", "/s/3"})
    {
        cr_assert_eq(body_of(caller), target);
    }
}

// A held answer that breaks off must not cost the requests behind it.
Test(pipelining, held_answer_that_breaks_off_becomes_502_and_the_rest_arrive)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            while (std::optional<request_text> const request =
                       connection.request())
            {
                if (request->target() == "/s/2")
                {
                    connection.send(
                        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
                    return;
                }
                std::this_thread::sleep_for(100ms);
                connection.send(
                    whole_answer_text(std::string(request->target())));
            }
        });
    running_server entry(pipelining(8));
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + get("/s/2") + get("/s/3"));
    cr_assert_eq(body_of(caller), "/s/1");
    std::optional<answer_text> const broken = caller.answer();
    cr_assert(broken.has_value());
    cr_assert_eq(broken->result_int(), 502);
    cr_assert_eq(body_of(caller), "/s/3");
}

// What does not fit into the bound must still arrive whole, in its place.
Test(pipelining, answer_above_the_bound_is_streamed_in_its_turn)
{
    std::string const large(std::size_t{1} << 20U, 'x');
    fake_upstream upstream(
        [&large](wire& connection, int)
        {
            while (std::optional<request_text> const request =
                       connection.request())
            {
                bool const is_large = request->target() == "/s/2";
                connection.send(whole_answer_text(
                    is_large ? large : std::string(request->target())));
            }
        });
    running_server entry(pipelining(8, 20000));
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + get("/s/2") + get("/s/3"));
    cr_assert_eq(body_of(caller), "/s/1");
    cr_assert(body_of(caller) == large);
    cr_assert_eq(body_of(caller), "/s/3");
}

// Nothing may run behind an answer that ends the connection.
Test(pipelining, nothing_runs_behind_a_request_that_closes)
{
    std::atomic<bool> go = false;
    fake_upstream* self = nullptr;
    fake_upstream upstream(answer_when(go, self));
    self = &upstream;
    running_server entry(pipelining(8));
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + get("/s/2", "Connection: close\r\n") +
                get("/s/3"));
    cr_assert(eventually(
        [&upstream]
        {
            return upstream.runs == 2;
        }));
    go = true;
    cr_assert_eq(body_of(caller), "/s/1");
    cr_assert_eq(body_of(caller), "/s/2");
    cr_assert(not caller.answer().has_value());
    cr_assert_eq(upstream.runs.load(), 2);
}

// The fault of a later request must not reach the caller before the answers
// to the requests in front of it.
Test(pipelining, bad_request_is_refused_behind_the_answers_before_it)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry(pipelining(8));
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + get("/s/2") + "NO HTTP\r\n\r\n" + get("/s/3"));
    cr_assert_eq(body_of(caller), "/s/1");
    cr_assert_eq(body_of(caller), "/s/2");
    cr_assert_eq(caller.answer()->result_int(), 400);
    cr_assert(not caller.answer().has_value());
}

// Work for a caller that has left must not hold slots of upstreams.
Test(pipelining, caller_that_leaves_cancels_all_its_requests)
{
    std::atomic<int> ended = 0;
    std::atomic<unsigned> seen = 0;
    fake_upstream upstream(
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
    running_server entry(pipelining(8));
    entry.configure({upstream.port()});
    {
        wire caller = entry.connect();
        caller.send(get("/s/1") + get("/s/2") + get("/s/3"));
        cr_assert(eventually(
            [&seen]
            {
                return seen == seen_1_to_3;
            }));
        // All three run at the same time.
        cr_assert_eq(ended.load(), 0);
    }
    cr_assert(eventually(
        [&ended]
        {
            return ended >= 3;
        }));
}

// A planned stop must answer what has been dispatched.
Test(pipelining, at_a_planned_stop_the_last_answer_closes)
{
    std::atomic<bool> go = false;
    fake_upstream* self = nullptr;
    fake_upstream upstream(answer_when(go, self));
    self = &upstream;
    running_server entry(pipelining(8));
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + get("/s/2") + get("/s/3"));
    cr_assert(eventually(
        [&upstream]
        {
            return upstream.runs == 3;
        }));
    entry.dispatch(entry::drain_requested{});
    go = true;
    for (std::string const target : {"/s/1", "/s/2", "/s/3"})
    {
        std::optional<answer_text> const answer = caller.answer();
        cr_assert(answer.has_value());
        cr_assert_eq(answer->body(), target);
        cr_assert_eq(answer->keep_alive(), target != "/s/3");
    }
    cr_assert(not caller.answer().has_value());
}

// An answer must never be lost, doubled or swapped, wherever the bytes of
// the requests are cut and however the answers end.
Test(pipelining, every_mixture_of_outcomes_keeps_the_order)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            while (std::optional<request_text> const request =
                       connection.request())
            {
                std::string const target(request->target());
                if (target.ends_with("cut"))
                {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: "
                                    "9\r\n\r\nab");
                    return;
                }
                if (target.ends_with("chunks"))
                {
                    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                    "chunked\r\n\r\n" +
                                    std::string("1\r\n/\r\n0\r\n\r\n"));
                    continue;
                }
                connection.send(
                    whole_answer_text(target + std::string(request->body())));
            }
        });
    running_server entry(pipelining(4, 1024));
    entry.configure({upstream.port()});
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
        wire caller = entry.connect();
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
    fake_upstream upstream(
        [](wire& connection, int)
        {
            while (std::optional<request_text> const request =
                       connection.request())
            {
                std::string const target(request->target());
                if (target.ends_with("cut"))
                {
                    connection.send(
                        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
                    return;
                }
                connection.send(whole_answer_text(target));
            }
        });
    running_server entry(pipelining(4, 1024));
    entry.configure({upstream.port()});
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
        wire caller = entry.connect();
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
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    server_settings settings = pipelining(8);
    settings.memory = 2 * settings.piece + 8;
    running_server entry(settings);
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    std::string text;
    for (int number = 0; number < 40; ++number)
    {
        text += get("/s/" + std::to_string(number));
    }
    caller.send(text);
    for (int number = 0; number < 40; ++number)
    {
        cr_assert_eq(body_of(caller), "/s/" + std::to_string(number));
    }
    caller.socket.close();
    cr_assert(eventually(
        [&entry]
        {
            std::size_t held = 1;
            entry.call(
                [&entry, &held]
                {
                    http_counters const& counters =
                        entry.server->connection_counters();
                    held = counters.memory_in_use + counters.held_answer_bytes;
                });
            return held == 0;
        }));
}

// A caller that does not read must be cut by the write timeout, and must
// not hold its requests' memory for longer.
Test(pipelining, caller_that_does_not_read_is_cut_and_frees_its_memory)
{
    std::string const large(std::size_t{32} << 20U, 'x');
    fake_upstream upstream(
        [&large](wire& connection, int)
        {
            while (connection.request())
            {
                connection.send(whole_answer_text(large));
            }
        });
    server_settings settings = pipelining(4);
    settings.write_timeout = 200ms;
    running_server entry(settings);
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + get("/s/2") + get("/s/3"));
    cr_assert(eventually(
        [&entry]
        {
            std::uint64_t ended = 0;
            std::size_t held = 1;
            entry.call(
                [&entry, &ended, &held]
                {
                    http_counters const& counters =
                        entry.server->connection_counters();
                    ended = counters.connections_cut_short;
                    held = counters.memory_in_use;
                });
            return ended == 1 && held == 0;
        }));
}
