#ifndef BILBERRYLEAD_TESTS_UNIT_HTTP_PLANNED_REQUEST_HPP
#define BILBERRYLEAD_TESTS_UNIT_HTTP_PLANNED_REQUEST_HPP

#include "tests/unit/http/http_fixture.hpp"

#include <cstddef>
#include <random>
#include <string>

namespace bilberrylead::http
{

/// What a caller sends in one place of its stream.
enum class request_kind
{
    /// Idempotent, without a body.
    plain,
    /// Idempotent, asks for the head only.
    head,
    /// Idempotent, in HTTP/1.0, wants the connection kept.
    old,
    /// May run once only, without a body.
    once,
    /// May run once only, with a body in chunks.
    once_with_body,
    /// Idempotent, with a body.
    body,
    /// A page of the entry host itself.
    page,
    /// Of a service that has no upstream.
    no_upstream,
    /// Of a service that does not exist.
    unknown_service,
    /// Not HTTP.
    not_http,
    /// Two lengths for one body.
    two_lengths,
    /// A deadline that is no number.
    bad_deadline,
    /// A body whose chunks are not valid.
    bad_chunk,
};

/// How the upstream ends a request.
enum class upstream_outcome
{
    /// Answers with a body that can be held.
    served,
    /// Answers with a body above the bound of held answers.
    large,
    /// Answers in chunks.
    chunked,
    /// Answers and closes its connection.
    closing,
    /// Answers without a length; the end of the connection is its end.
    to_end,
    /// Ends within the body.
    cut,
    /// Ends before the answer, once; the next upstream answers.
    failed_once,
    /// Ends before the answer, each time.
    failed,
    /// Says that it has not run the request, each time.
    refused,
};

/// One request of a stream, and what becomes of it.
struct planned_request
{
    request_kind kind = request_kind::plain;
    upstream_outcome outcome = upstream_outcome::served;
    /// True if it has `Connection: close`.
    bool closes = false;
    /// Its place in the stream.
    std::size_t place = 0;

    /// Draws one; faults and closes are rarer than the rest, so that windows
    /// fill.
    template <class Generator>
    static planned_request draw(Generator& random, std::size_t place)
    {
        planned_request made;
        made.place = place;
        if (random() % 5 < 2)
        {
            made.kind = static_cast<request_kind>(
                random() %
                (static_cast<unsigned>(request_kind::bad_chunk) + 1));
        }
        if (random() % 2 == 0)
        {
            made.outcome = static_cast<upstream_outcome>(
                random() %
                (static_cast<unsigned>(upstream_outcome::refused) + 1));
        }
        // The host waits some milliseconds before another try, which cannot
        // be shortened here.
        if (made.outcome >= upstream_outcome::failed_once && random() % 3 != 0)
        {
            made.outcome = upstream_outcome::served;
        }
        made.closes = random() % 12 == 0;
        return made;
    }

    /// True if the connection cannot go on behind it.
    bool is_fault() const
    {
        return this->kind >= request_kind::not_http;
    }

    /// True if its answer must be the last one.
    bool ends_connection() const
    {
        return this->closes || this->is_fault();
    }

    /// True if it may be dispatched behind unanswered requests.
    bool may_run_ahead() const
    {
        return this->kind == request_kind::plain ||
               this->kind == request_kind::head ||
               this->kind == request_kind::no_upstream;
    }

    /// True if others may be dispatched behind it before its answer.
    bool may_be_overtaken() const
    {
        return this->may_run_ahead() || this->kind == request_kind::body;
    }

    /// True if it must not run twice.
    bool runs_once() const
    {
        return this->kind == request_kind::once ||
               this->kind == request_kind::once_with_body;
    }

    /// True if an upstream gets to see it.
    bool reaches_upstream() const
    {
        return this->kind <= request_kind::body;
    }

    /// Its id, which its answer must carry.
    std::string id() const
    {
        return "r" + std::to_string(this->place);
    }

    /// The body of its answer, if it is served.
    std::string answer_body() const
    {
        return this->id() + std::string(this->outcome == upstream_outcome::large
                                            ? 900
                                            : this->place % 3,
                                        '.');
    }

    /// What its caller sends.
    std::string text() const
    {
        std::string const headers =
            "Bilberry-Request-Id: " + this->id() + "\r\n" +
            (this->closes ? "Connection: close\r\n" : "");
        std::string const chunked = "Transfer-Encoding: chunked\r\n";
        switch (this->kind)
        {
        case request_kind::plain:
            return get("/s/", headers);
        case request_kind::head:
            return "HEAD /s/ HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
        case request_kind::old:
            return "GET /s/ HTTP/1.0\r\n" + headers +
                   (this->closes ? "\r\n" : "Connection: keep-alive\r\n\r\n");
        case request_kind::once:
            return get("/o/", headers);
        case request_kind::once_with_body:
            return "POST /o/ HTTP/1.1\r\nHost: h\r\n" + chunked + headers +
                   "\r\n3\r\nabc\r\n0\r\n\r\n";
        case request_kind::body:
            return post("/s/", "GET /s/x HTTP/1.1\r\n\r\n", headers);
        case request_kind::page:
            return get("/ready", headers);
        case request_kind::no_upstream:
            return get("/e/", headers);
        case request_kind::unknown_service:
            return get("/x/", headers);
        case request_kind::not_http:
            return "NO HTTP\r\n\r\n";
        case request_kind::two_lengths:
            return post("/s/", "abc", headers + "Content-Length: 5\r\n");
        case request_kind::bad_deadline:
            return get("/s/", headers + "Bilberry-Deadline-Ms: soon\r\n");
        case request_kind::bad_chunk:
            return "POST /s/ HTTP/1.1\r\nHost: h\r\n" + chunked + headers +
                   "\r\nzz\r\nabc\r\n";
        }
        return {};
    }

    /// What its upstream sends.
    std::string answer() const
    {
        std::string const body = this->answer_body();
        std::string const shown =
            this->kind == request_kind::head ? std::string() : body;
        std::string const start = "HTTP/1.1 200 OK\r\n";
        std::string const length =
            "Content-Length: " + std::to_string(body.size()) + "\r\n";
        switch (this->outcome)
        {
        case upstream_outcome::chunked:
            return start + "Transfer-Encoding: chunked\r\n\r\n" +
                   (shown.empty() ? ""
                                  : std::to_string(body.size()) + "\r\n" +
                                        body + "\r\n0\r\n\r\n");
        case upstream_outcome::closing:
            return start + length + "Connection: close\r\n\r\n" + shown;
        case upstream_outcome::to_end:
            return start + "Connection: close\r\n\r\n" + shown;
        case upstream_outcome::cut:
            return start + "Content-Length: 9\r\n\r\nab";
        case upstream_outcome::failed:
            return {};
        case upstream_outcome::refused:
            return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: "
                   "0\r\nBilberry-Not-Run: 1\r\n\r\n";
        default:
            return start + length + "\r\n" + shown;
        }
    }
};

} // namespace bilberrylead::http

#endif
