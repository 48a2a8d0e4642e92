#include "tests/unit/http/pipelining_fixture.hpp"

#include <fmt/format.h>

#include <optional>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

void runs_once(config::service& service)
{
    service.idempotent = false;
}

} // namespace

// Guards against bytes behind an answer that has no body, although it names a
// length: they are not passed on, and answer no later request.
Test(bodiless_answer, bytes_behind_it_reach_no_caller)
{
    std::string const stray = whole_answer_text("stray");
    for (std::string const status : {"204", "304"})
    {
        std::string const first =
            fmt::format("HTTP/1.1 {} No\r\nContent-Length: {}\r\n\r\n{}",
                        status, stray.size(), stray);
        pipelined_pair pair(pipelining(1),
                            answering(
                                [&first](request_text const& request)
                                {
                                    std::string const target(request.target());
                                    return target == "/s/1"
                                               ? first
                                               : whole_answer_text(target);
                                }));
        pair.caller->send(get("/s/1"));
        std::optional<answer_text> const answer = pair.caller->answer(true);
        cr_assert(answer.has_value());
        cr_expect(std::to_string(answer->result_int()) == status);
        pair.caller->send(get("/s/2"));
        cr_expect_eq(body_of(*pair.caller), "/s/2");
    }
}

// Guards against interim answers without end that hold a caller beyond its
// deadline, and against one with a body that is taken for the final answer.
Test(bodiless_answer, interim_ones_alone_end_with_the_deadline)
{
    for (std::string const sent :
         {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
          "HTTP/1.1 199 Odd\r\nContent-Length: 3\r\n\r\nown"})
    {
        fake_upstream upstream(
            [&sent](wire& connection, int)
            {
                if (!connection.request().has_value())
                {
                    return;
                }
                boost::system::error_code error;
                while (!error)
                {
                    boost::asio::write(connection.socket,
                                       boost::asio::buffer(sent), error);
                    std::this_thread::sleep_for(1ms);
                }
            });
        running_server entry;
        entry.configure({upstream.port()}, runs_once);
        std::optional<answer_text> const answer =
            entry.ask(get("/s/x", "Bilberry-Deadline-Ms: 100\r\n"));
        cr_assert(answer.has_value());
        cr_expect(answer->result_int() == 504 || answer->result_int() == 502,
                  "%u", answer->result_int());
        cr_expect((*answer)["Bilberry-Outcome"] == "unknown");
    }
}
