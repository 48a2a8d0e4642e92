#include "tests/unit/http/pipelining_fixture.hpp"

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

/// How an upstream ends its connection.
enum class ending
{
    closed,
    reset,
};

constexpr std::array<ending, 2> endings = {ending::closed, ending::reset};

/// Answers requests with their targets, but those for /s/cut with a text of
/// the test's, after which it ends the connection.
class cutting_upstream
{
public:
    /// Sets what a request for /s/cut gets, and how the connection ends then.
    void set(std::string text, ending how)
    {
        std::lock_guard<std::mutex> const lock(this->guard);
        this->text = std::move(text);
        this->how = how;
        this->cut_runs = 0;
    }

    std::uint16_t port() const
    {
        return this->server.port();
    }

    /// Requests for /s/cut since `set`.
    std::atomic<int> cut_runs = 0;
    /// Connections that were used again after their end.
    std::atomic<int> used_again = 0;

private:
    void run(wire& connection)
    {
        while (std::optional<request_text> const request = connection.request())
        {
            if (request->target() == "/s/cut")
            {
                ++this->cut_runs;
                this->cut(connection);
                return;
            }
            connection.send(whole_answer_text(std::string(request->target())));
        }
    }

    void cut(wire& connection)
    {
        std::string sent;
        ending end{};
        {
            std::lock_guard<std::mutex> const lock(this->guard);
            sent = this->text;
            end = this->how;
        }
        connection.send(sent);
        int const descriptor = connection.socket.native_handle();
        if (end == ending::reset)
        {
            // Dissolving the association sends a reset.
            ::sockaddr const nobody{AF_UNSPEC, {}};
            cr_assert_eq(::connect(descriptor, &nobody, sizeof(nobody)), 0);
            return;
        }
        ::shutdown(descriptor, SHUT_WR);
        char byte = 0;
        this->used_again += ::recv(descriptor, &byte, 1, 0) > 0 ? 1 : 0;
    }

    std::mutex guard;
    std::string text;
    ending how{};
    fake_upstream server{[this](wire& connection, int)
                         {
                             this->run(connection);
                         }};
};

/// An answer, and the length of all that comes before its body.
struct whole_text
{
    whole_text(std::string const& start, std::string const& body)
        : text(start + body), head(start.size())
    {
    }

    std::string text;
    std::size_t head;
};

whole_text const measured("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
                          "hello");
whole_text const
    in_chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
              "5\r\nhello\r\n0\r\nX-End: 1\r\n\r\n");
whole_text const without_length("HTTP/1.1 200 OK\r\nX-Of: b\r\n\r\n", "hello");

std::vector<whole_text> const of_any_kind = {
    measured,
    in_chunks,
    without_length,
    {"HTTP/1.0 200 OK\r\n\r\n", "hello"},
    {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\n",
     "hello"},
    {"HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", ""},
    {"HTTP/1.1 204 No Content\r\nX-Of: b\r\n\r\n", ""},
    {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", ""},
    {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
     ""},
};

/// An entry host and its one upstream.
struct cut_pair
{
    explicit cut_pair(std::function<void(config::service&)> const& change)
    {
        this->entry.configure({this->upstream.port()}, change);
    }

    /// Calls `check` for each part of the head, and each ending after it.
    void for_each_cut(whole_text const& answer,
                      std::function<void()> const& check)
    {
        for (ending const how : endings)
        {
            for (std::size_t cut = 0; cut < answer.head; ++cut)
            {
                this->upstream.set(answer.text.substr(0, cut), how);
                check();
            }
        }
        cr_expect_eq(this->upstream.used_again.load(), 0);
    }

    cutting_upstream upstream;
    running_server entry;
};

void runs_once(config::service& service)
{
    service.idempotent = false;
}

constexpr char const* cut_request =
    "GET /s/cut HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

void expect_unknown(std::optional<answer_text> const& answer)
{
    cr_assert(answer.has_value());
    cr_assert_eq(answer->result_int(), 502, "%u", answer->result_int());
    cr_assert((*answer)["Bilberry-Outcome"] == "unknown");
}

} // namespace

// Guards against an answer that ends in the middle of its head and reaches the
// caller as a whole one, and against a next request that meets its rest.
Test(unfinished_head, cut_after_any_byte_is_an_unknown_outcome)
{
    cut_pair pair(runs_once);
    wire caller = pair.entry.connect();
    for (whole_text const& answer : of_any_kind)
    {
        pair.for_each_cut(answer,
                          [&pair, &caller]
                          {
                              caller.send(cut_request);
                              expect_unknown(caller.answer());
                              cr_assert_eq(pair.upstream.cut_runs.load(), 1);
                              caller.send(get("/s/next"));
                              cr_assert_eq(body_of(caller), "/s/next");
                          });
    }
}
