#include "bilberrylead/core/read_limits.hpp"
#include "tests/unit/http/claim_recorder.hpp"

#include <fmt/format.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

/// Fields that are larger than a reader takes.
std::vector<std::string> oversized_fields()
{
    std::string const largest(max_field_part_bytes, 'a');
    return {"X-Of: " + largest + "\r\n", "X-Of: " + largest + "a\r\n",
            "X-Of: " + std::string(70'000, 'a') + "\r\n",
            std::string(70'000, 'a') + ": b\r\n",
            "X-Of: " + std::string(max_trailer_bytes, 'a') + "\r\n"};
}

std::string const chunked_answer =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
std::string const chunked_body = "\r\n3\r\nown\r\n0\r\n";

/// How an entry host reads an answer.
enum class reading
{
    streamed,
    collected,
    skipped,
    not_run,
};

std::string head_for(reading way)
{
    switch (way)
    {
    case reading::skipped:
        return chunked_answer + "Bilberry-Request-Id: another\r\n";
    case reading::not_run:
        return "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n"
               "Bilberry-Not-Run: 1\r\n";
    case reading::streamed:
    case reading::collected:
        break;
    }
    return chunked_answer;
}

/// An entry host whose upstream puts a field behind the body of its answers,
/// but for those to "/s/good".
struct oversized_pair
{
    oversized_pair(reading chosen, std::string const& field,
                   std::size_t piece_size)
        : way(chosen), text(head_for(chosen) + chunked_body + field + "\r\n"),
          piece(piece_size)
    {
        this->records.serve(this->entry);
        this->entry.configure({this->upstream.port()},
                              [chosen](config::service& service)
                              {
                                  service.idempotent =
                                      chosen != reading::collected;
                                  service.guarded =
                                      chosen == reading::collected;
                              });
    }

    void answer(wire& connection)
    {
        while (std::optional<request_text> const request = connection.request())
        {
            if (request->target() == "/s/good")
            {
                connection.send(whole_answer_text("good"));
                continue;
            }
            for (std::size_t sent = 0; sent < this->text.size();
                 sent += this->piece)
            {
                connection.send(this->text.substr(sent, this->piece));
            }
        }
    }

    reading way;
    std::string text;
    std::size_t piece;
    fake_upstream upstream{[this](wire& connection, int)
                           {
                               this->answer(connection);
                           }};
    claim_recorder records;
    running_server entry;
};

std::string chunked_post(std::string const& body, std::string const& trailer)
{
    return fmt::format("POST /s/x HTTP/1.1\r\nHost: h\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n"
                       "{}\r\n",
                       body.size(), body, trailer);
}

} // namespace

// Guards against one answer that ends the entry host, and with it all requests
// of its callers.
Test(oversized_field, behind_an_answer_breaks_off_that_answer_only)
{
    for (reading const way : {reading::streamed, reading::collected,
                              reading::skipped, reading::not_run})
    {
        for (std::string const& field : oversized_fields())
        {
            for (std::size_t const piece :
                 {std::size_t{1} << 20U, std::size_t{16} << 10U})
            {
                oversized_pair pair(way, field, piece);
                wire other = pair.entry.connect();
                std::optional<answer_text> const answer = pair.entry.ask(
                    way == reading::collected
                        ? post("/s/x", "body", "Idempotency-Key: k\r\n")
                        : get("/s/x"));
                cr_expect(!answer.has_value() || answer->result_int() >= 500,
                          "%zu bytes, way %d", field.size(),
                          static_cast<int>(way));
                cr_expect_eq(pair.records.recorded.load(), 0);
                other.send(way == reading::collected
                               ? post("/s/good", "b", "Idempotency-Key: g\r\n")
                               : get("/s/good"));
                std::optional<answer_text> const good = other.answer();
                cr_assert(good.has_value());
                cr_expect_eq(good->result_int(), 200U);
            }
        }
    }
}

// Guards against one request that ends the entry host.
Test(oversized_field, behind_a_request_ends_that_request_only)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry;
    entry.configure({upstream.port()},
                    [](config::service& service)
                    {
                        service.idempotent = false;
                    });
    wire other = entry.connect();
    for (std::string const& field : oversized_fields())
    {
        // A short body is kept, a long one is passed on while it is read.
        for (std::size_t const size : {std::size_t{3}, std::size_t{1} << 20U})
        {
            std::optional<answer_text> const answer =
                entry.ask(chunked_post(std::string(size, 'b'), field));
            cr_assert(answer.has_value(), "%zu bytes", field.size());
            cr_expect_eq(answer->result_int(), 431U);
            cr_expect_not(answer->keep_alive());
        }
        other.send(get("/s/good"));
        std::optional<answer_text> const good = other.answer();
        cr_assert(good.has_value());
        cr_expect_eq(good->result_int(), 200U);
    }
}

// Guards against the same by a head, where operators allow larger heads than
// the library's fields.
Test(oversized_field, in_a_head_within_its_limit_is_answered_431)
{
    // Reads heads of any size.
    fake_upstream upstream(
        [](wire& connection, int)
        {
            std::string head;
            boost::system::error_code error;
            boost::asio::read_until(connection.socket,
                                    boost::asio::dynamic_buffer(head),
                                    "\r\n\r\n", error);
            connection.send(whole_answer_text("good"));
        });
    server_settings settings;
    settings.largest_head = std::size_t{128} << 10U;
    running_server entry(settings);
    entry.configure({upstream.port()});
    std::string const largest(max_field_part_bytes, 'a');
    for (std::string const& field :
         {"X-Of: " + largest + "a\r\n", largest + "a: b\r\n"})
    {
        std::optional<answer_text> const answer = entry.ask(get("/s/x", field));
        cr_assert(answer.has_value());
        cr_expect_eq(answer->result_int(), 431U);
    }
    std::optional<answer_text> const answer =
        entry.ask(get("/s/good", "X-Of: " + largest + "\r\n"));
    cr_assert(answer.has_value());
    cr_expect_eq(answer->result_int(), 200U);
}
