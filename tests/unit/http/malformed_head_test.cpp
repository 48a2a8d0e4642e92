#include "tests/unit/http/claim_recorder.hpp"

#include <fmt/format.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

constexpr char const* start = "HTTP/1.1 200 OK\r\n";

/// Bytes that no name of a field may hold.
std::vector<char> const bytes_outside_names = {
    '\0', '\x01', '\x07', '\t', '\x0b', '\x1f', ' ', '\x7f', '\x80', '\xff'};

/// Answers whose head, or trailer, is not valid.
std::vector<std::string> malformed_answers()
{
    std::string const body = "\r\nContent-Length: 3\r\n\r\nown";
    std::vector<std::string> answers;
    for (char const byte : bytes_outside_names)
    {
        for (std::string const& name :
             {std::string("X-") + byte + "Of", std::string("X-Of") + byte,
              byte + std::string("X-Of")})
        {
            // A blank or tab in front continues the line before.
            bool const continues =
                name.front() == byte && (byte == ' ' || byte == '\t');
            if (!continues)
            {
                answers.push_back(
                    fmt::format("{}X-First: 1\r\n{}: b{}", start, name, body));
            }
        }
        // In values, tabs and bytes of other alphabets are valid.
        if (byte != '\t' && byte != ' ' &&
            static_cast<unsigned char>(byte) < 0x80)
        {
            answers.push_back(start + std::string("X-Of: b") + byte + "c" +
                              body);
        }
    }
    for (std::string const fields :
         {"Content-Length : 3\r\n", "Content-Length\t: 3\r\n",
          "Transfer-Encoding : chunked\r\n", "Transfer-Encoding\t: chunked\r\n",
          "Content-Length: 3\r\nContent-Length: 4\r\n",
          "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 3\r\nno colon\r\n", "Content-Length: 3\r\n: b\r\n",
          "Content-Length: 3\r\nX-Of: b\rc\r\n", "Content-Length: 3x\r\n",
          "Content-Length: -3\r\n", "Content-Length: +3\r\n"})
    {
        answers.push_back(start + std::string(fields) + "\r\nown");
        answers.push_back(start + std::string(fields) +
                          "\r\n3\r\nown\r\n0\r\n\r\n");
    }
    std::string const chunked =
        start + std::string("Transfer-Encoding: chunked\r\n\r\n");
    answers.push_back(chunked + "zz\r\nown\r\n0\r\n\r\n");
    answers.push_back(chunked + "3\r\nown\r\n0\r\nX Of: b\r\n\r\n");
    return answers;
}

/// An entry host whose only upstream sends one text to each request.
struct malformed_pair
{
    explicit malformed_pair(std::string sent, bool guarded = false)
        : text(std::move(sent))
    {
        this->records.serve(this->entry);
        this->entry.configure({this->upstream.port()},
                              [guarded](config::service& service)
                              {
                                  service.idempotent = false;
                                  service.guarded = guarded;
                              });
    }

    std::string text;
    fake_upstream upstream{[this](wire& connection, int)
                           {
                               if (connection.request().has_value())
                               {
                                   ++this->upstream.runs;
                                   connection.send(this->text);
                               }
                           }};
    claim_recorder records;
    running_server entry;
};

/// The text with all that is not printed as a dot.
std::string printed(std::string text)
{
    for (char& byte : text)
    {
        byte = byte >= ' ' && byte < '\x7f' ? byte : '.';
    }
    return text;
}

} // namespace

// Guards against a head that another reader understands in another way and that
// is passed on, with the line or with a body that is not the upstream's.
Test(malformed_head, is_passed_on_to_no_caller)
{
    for (std::string const& sent : malformed_answers())
    {
        malformed_pair pair(sent);
        for (std::string const version : {"1.1", "1.0"})
        {
            std::optional<answer_text> const answer =
                pair.entry.ask("POST /s/x HTTP/" + version +
                               "\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
            cr_expect(!answer.has_value() || answer->result_int() == 502,
                      "%u for %s", answer->result_int(), printed(sent).c_str());
        }
        cr_expect_eq(pair.upstream.runs.load(), 2);
    }
}

Test(malformed_head, is_not_recorded_for_a_key)
{
    for (std::string const& sent : malformed_answers())
    {
        malformed_pair pair(sent, true);
        std::optional<answer_text> const answer =
            pair.entry.ask(post("/s/x", "body", "Idempotency-Key: k\r\n"));
        cr_assert(answer.has_value(), "%s", printed(sent).c_str());
        cr_expect_eq(answer->result_int(), 502, "%u for %s",
                     answer->result_int(), printed(sent).c_str());
        cr_expect_eq(pair.records.recorded.load(), 0, "%s",
                     printed(sent).c_str());
    }
}

// Guards against a body that changes because a line of the head is folded.
Test(malformed_head, folded_line_changes_no_body)
{
    for (std::string const fold : {" ", "\t"})
    {
        malformed_pair pair(start + std::string("X-Of: b\r\n") + fold +
                            "Content-Length: 1\r\nContent-Length: 3\r\n\r\n"
                            "own");
        std::optional<answer_text> const answer =
            pair.entry.ask(post("/s/x", "body"));
        cr_assert(answer.has_value());
        cr_expect_eq(answer->body(), "own");
    }
}
