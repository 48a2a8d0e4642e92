#include "bilberrylead/http/http_counters.hpp"
#include "tests/unit/http/pipelining_fixture.hpp"
#include "tests/unit/http/stepped_host.hpp"

#include <algorithm>
#include <chrono>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

/// Requests of the window of these tests.
constexpr std::uint32_t window = 8;

/// The time that docs/design/hard_load.md gives upstreams to hear of it.
constexpr duration longest_work_for_nobody = 500ms;

std::string requests(std::size_t count, std::string const& headers = {})
{
    std::string text;
    for (std::size_t made = 0; made < count; ++made)
    {
        text += get("/s/" + std::to_string(made), headers);
    }
    return text;
}

/// Requests that are more than what is taken ahead of a full window.
std::string too_much()
{
    return requests(16, "X: " + std::string(4000, 'a') + "\r\n");
}

/// A caller with a full window, all of it at upstreams.
struct full_window
{
    full_window()
    {
        this->host.start(pipelining(window));
        this->caller = this->host.connect();
    }

    ~full_window()
    {
        this->host.forget(*this->caller);
    }

    void send(std::string const& text)
    {
        cr_assert(this->caller->send(text));
        cr_assert(this->host.run_until(
            [this]
            {
                return this->host.unanswered().size() == window;
            }));
        this->host.settle();
    }

    /// True once no upstream works on any of it.
    bool is_cancelled()
    {
        return this->host.run_until(
            [this]
            {
                return this->host.unanswered().empty();
            });
    }

    stepped_host host;
    std::unique_ptr<stepped_caller> caller;
};

/// The shortest time, of five rounds, from a caller's leaving to the last
/// upstream's seeing the end of its work. A busy machine can delay a round, but
/// not make one shorter, so the shortest tells whether the host waits for
/// anything.
duration shortest_time_to_end(std::string const& behind)
{
    constexpr std::uint32_t small_window = 3;
    std::atomic<std::size_t> running = 0;
    std::atomic<std::size_t> ended = 0;
    std::atomic<std::int64_t> last_end = 0;
    fake_upstream upstream(
        [&running, &ended, &last_end](wire& connection, int)
        {
            while (connection.request())
            {
                ++running;
                connection.closed();
                last_end = clock_now().time_since_epoch().count();
                ++ended;
            }
        });
    running_server entry(pipelining(small_window));
    entry.configure({upstream.port()},
                    [](config::service& service)
                    {
                        service.deadline = 10min;
                    });
    duration shortest = duration::max();
    for (int round = 0; round < 5; ++round)
    {
        running = 0;
        ended = 0;
        wire caller = entry.connect();
        caller.send(requests(small_window) + behind);
        cr_assert(eventually(
            [&running]
            {
                return running == small_window;
            }));
        instant const left = clock_now();
        caller.socket.close();
        cr_assert(eventually(
            [&ended]
            {
                return ended == small_window;
            }));
        shortest = std::min(shortest, instant(duration(last_end)) - left);
    }
    return shortest;
}

} // namespace

// Work for a caller that has left must end at once. The host's clock does not
// run here, so the end comes from the handler that sees the caller leave and
// can wait for no timeout.
Test(pipelining_caller_leaves, all_upstreams_see_the_end_without_any_tick)
{
    full_window subject;
    subject.send(requests(window));
    subject.caller->leave();
    cr_assert(subject.is_cancelled());
    cr_assert_eq(subject.host.core->decisions().requests_in_progress(), 0);
    cr_assert_eq(subject.host.counters().connections_cut_short, 1);
}

// The same while the first answer is on its way.
Test(pipelining_caller_leaves, within_the_first_answer)
{
    full_window subject;
    subject.send(requests(window));
    upstream_side* const first = subject.host.unanswered().front();
    first->send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
    subject.host.settle();
    subject.caller->leave();
    cr_assert(subject.is_cancelled());
    cr_assert_eq(subject.host.core->decisions().requests_in_progress(), 0);
}

// A caller that has sent far more than its window is not read, so that its
// leaving cannot be seen by reading. The next sweep, which comes every 50 ms,
// must see it all the same.
Test(pipelining_caller_leaves, with_more_unread_than_is_taken_ahead)
{
    full_window subject;
    subject.send(requests(window) + too_much());
    subject.caller->leave();
    subject.host.settle();
    std::shared_ptr<caller_connection> const served =
        subject.caller->connection.lock();
    if (served != nullptr)
    {
        served->expire(clock_now());
    }
    cr_assert(subject.is_cancelled());
    cr_assert_eq(subject.host.core->decisions().requests_in_progress(), 0);
}

// The time that upstreams need to see it, over real connections.
Test(pipelining_caller_leaves, upstreams_see_the_end_within_the_bound)
{
    cr_assert_leq(shortest_time_to_end("").count(),
                  longest_work_for_nobody.count());
}

// The same for a caller whose last bytes have not been read.
Test(pipelining_caller_leaves, with_bytes_unread_within_the_bound)
{
    cr_assert_leq(shortest_time_to_end(too_much()).count(),
                  longest_work_for_nobody.count());
}
