#include "tests/unit/http/http_fixture.hpp"

using namespace bilberrylead::http;

namespace
{

/// What a caller sends, and the status it must hear; 0 is a closed
/// connection without an answer.
struct bad_input
{
    char const* name;
    std::string bytes;
    unsigned status;
    bool half_close = false;
};

std::vector<bad_input> all_bad_inputs()
{
    std::string const start = "POST /s/x HTTP/1.1\r\nHost: h\r\n";
    std::string const long_line(20000, 'a');
    std::vector<bad_input> inputs = {
        {"two lengths",
         start + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", 400},
        {"two equal lengths",
         start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
        {"length with chunked",
         start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n\r\n",
         400},
        {"chunked with length",
         start + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"
                 "0\r\n\r\n",
         400},
        {"coding that is not chunked",
         start + "Transfer-Encoding: gzip\r\n\r\nabc", 400},
        {"coding given twice",
         start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n0\r\n\r\n",
         400},
        {"negative length", start + "Content-Length: -1\r\n\r\n", 400},
        {"space before the colon", start + "Content-Length : 3\r\n\r\nabc",
         400},
        {"endless header", start + "X: " + long_line, 431},
        {"endless target", "GET /s/" + long_line, 431},
        {"bad chunk", start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
         400},
        {"oversized by length", start + "Content-Length: 5000\r\n\r\n", 413},
        {"oversized by chunks",
         start + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" +
             std::string(5000, 'b') + "\r\n0\r\n\r\n",
         413},
        {"no host", "GET /s/x HTTP/1.1\r\n\r\n", 400},
        {"two hosts", "GET /s/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
        {"target without a slash", "GET s/x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        {"deadline that is no number",
         get("/s/x", "Bilberry-Deadline-Ms: soon\r\n"), 400},
        {"deadline of zero", get("/s/x", "Bilberry-Deadline-Ms: 0\r\n"), 503},
        {"unknown service", get("/nothing/x"), 404},
        {"HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400},
        {"no HTTP at all", "\x16\x03\x01\x02 hello\r\n\r\n", 400},
        {"truncated head", "GET /s/x HTTP/1.1\r\nHo", 0, true},
        {"truncated body", start + "Content-Length: 9\r\n\r\nabc", 0, true},
        {"slow head", "GET /s/x HTTP/1.1\r\nHo", 408},
        {"slow body", start + "Content-Length: 9\r\n\r\nabc", 408},
        {"tab before the colon of a length",
         start + "Content-Length\t: 3\r\n\r\nabc", 400},
        {"space before the colon of a coding",
         start + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400},
        {"tab before the colon of a coding",
         start + "Transfer-Encoding\t: chunked\r\n\r\n0\r\n\r\n", 400},
        {"line without a colon", get("/s/x", "no colon\r\n"), 400},
        {"empty name", get("/s/x", ": b\r\n"), 400},
        {"bare carriage return", get("/s/x", "X-Of: b\rc\r\n"), 400},
    };
    for (char const byte : {'\0', '\x01', '\x07', '\t', '\x0b', '\x1f', ' ',
                            '\x7f', '\x80', '\xff'})
    {
        inputs.push_back({"byte outside a name",
                          get("/s/x", std::string("X-") + byte + "Of: b\r\n"),
                          400});
    }
    return inputs;
}

server_settings impatient_settings()
{
    server_settings settings;
    settings.head_timeout = 200ms;
    settings.body_timeout = 200ms;
    settings.linger = 100ms;
    return settings;
}

} // namespace

Test(bad_caller, every_bad_input_is_answered_or_closed_and_never_forwarded)
{
    // A caller sends what is no request: framed in two ways, too long, cut
    // off or too slow. It hears why, or its connection ends; the caller who
    // comes next is served as ever, and nothing reaches the upstream that a
    // second reader of the same bytes could take for another request.
    fake_upstream upstream(
        [&upstream](wire& connection, int)
        {
            while (std::optional<request_text> const request =
                       connection.request())
            {
                cr_expect_eq(std::string(request->target()), "/s/good");
                ++upstream.runs;
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
                                "ok");
            }
        });
    running_server entry(impatient_settings());
    entry.configure({upstream.port()},
                    [](bilberrylead::config::service& service)
                    {
                        service.largest_request = 1000;
                    });
    int good = 0;
    for (bad_input const& row : all_bad_inputs())
    {
        wire caller = entry.connect();
        caller.send(row.bytes);
        if (row.half_close)
        {
            caller.socket.shutdown(tcp::socket::shutdown_send);
        }
        std::optional<answer_text> const answer = caller.answer();
        unsigned const status = answer ? answer->result_int() : 0;
        cr_expect_eq(status, row.status, "%s: heard %u, expected %u", row.name,
                     status, row.status);
        std::optional<answer_text> const next = entry.ask(get("/s/good"));
        cr_expect(next.has_value() && next->body() == "ok",
                  "%s harmed another caller", row.name);
        cr_expect_eq(upstream.runs.load(), ++good, "%s was forwarded",
                     row.name);
    }
}

Test(bad_caller, refused_caller_reads_its_answer_before_the_close)
{
    // The caller goes on sending a body that was refused by its length. The
    // answer must not be lost to a reset.
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry(impatient_settings());
    entry.configure({upstream.port()},
                    [](bilberrylead::config::service& service)
                    {
                        service.largest_request = 1000;
                    });
    wire caller = entry.connect();
    caller.send(post("/s/x", std::string(100000, 'c')));
    std::optional<answer_text> const answer = caller.answer();
    cr_assert(answer.has_value());
    cr_assert_eq(answer->result_int(), 413);
    cr_assert(caller.closed());
}

Test(bad_caller, slow_reader_is_cut_and_frees_its_slot)
{
    // A caller asks for a bundle and reads none of it. After the write
    // timeout its connection ends and the upstream's only slot is free for
    // the next caller.
    std::string const bundle(std::size_t{64} << 20U, 'd');
    fake_upstream upstream(
        [&bundle](wire& connection, int)
        {
            while (std::optional<request_text> const request =
                       connection.request())
            {
                std::string const body =
                    request->target() == "/s/bundle" ? bundle : "brief";
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" +
                                body);
            }
        });
    server_settings settings;
    settings.write_timeout = 200ms;
    running_server entry(settings);
    entry.configure({upstream.port()});
    std::vector<wire> readers;
    for (int each = 0; each < 3; ++each)
    {
        readers.push_back(entry.connect());
        readers.back().send(get("/s/bundle"));
    }
    std::optional<answer_text> const answer =
        entry.ask(get("/s/brief", "Bilberry-Deadline-Ms: 10000\r\n"));
    cr_assert(answer.has_value());
    cr_assert_eq(answer->body(), "brief");
    // None of them reads before all were cut: one that reads makes progress.
    std::size_t open = readers.size();
    while (open > 0)
    {
        entry.call(
            [&entry, &open]
            {
                open = entry.server->connection_counters().caller_connections;
            });
    }
    for (wire& reader : readers)
    {
        cr_assert_not(reader.answer().has_value());
    }
}

Test(bad_caller, bodies_beyond_the_memory_limit_are_not_run)
{
    server_settings settings;
    settings.memory = 20000;
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry(settings);
    entry.configure({upstream.port()});
    std::optional<answer_text> const refused =
        entry.ask(post("/s/x", std::string(10000, 'e')));
    cr_assert_eq(refused->result_int(), 503);
    cr_assert_eq(std::string((*refused)["Bilberry-Outcome"]), "not-run");
    cr_assert_eq(entry.ask(get("/s/x"))->result_int(), 200);
}
