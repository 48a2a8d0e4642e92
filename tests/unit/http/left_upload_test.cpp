#include "tests/unit/http/upload_upstream.hpp"

#include <thread>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

using counts = upload_upstream::counts;

/// Expects a final answer that promises nothing about the run.
void expect_unknown(std::optional<answer_text> const& answer, unsigned status)
{
    cr_assert(answer.has_value());
    cr_expect_eq(answer->result_int(), status);
    cr_expect_eq(std::string(answer->at("Bilberry-Outcome")), "unknown");
    cr_expect_not(answer->keep_alive());
}

/// An entry host before one upstream. Its service runs nothing twice, and none
/// of its time limits ends a test.
struct uploading_entry
{
    explicit uploading_entry(server_settings settings = {},
                             duration progress = std::chrono::hours(1),
                             std::size_t largest = 2 * upload_size)
        : entry(std::move(settings))
    {
        this->entry.configure({this->upstream.port()},
                              [progress, largest](config::service& service)
                              {
                                  service.idempotent = false;
                                  service.largest_request = largest;
                                  service.deadline = std::chrono::hours(1);
                                  service.progress_timeout = progress;
                              });
    }

    /// A whole upload over a connection of its own.
    std::optional<answer_text> upload(int number, std::size_t size)
    {
        return this->entry.ask(
            measured_head(number, answer_time::after_body, size) +
            upload_bytes(number, 0, size));
    }

    /// A caller that has sent a part of upload 1, whose head the upstream has.
    wire begin_upload(answer_time when)
    {
        return this->send_part(measured_head(1, when) +
                               upload_bytes(1, 0, upload_part));
    }

    /// The same for an upload in chunks.
    wire begin_chunks()
    {
        return this->send_part(chunked_head(1, answer_time::after_body) +
                               upload_chunk(1, 0, upload_part));
    }

    wire send_part(std::string const& text)
    {
        wire caller = this->entry.connect();
        caller.send(text);
        cr_assert(this->upstream.await(&counts::begun));
        return caller;
    }

    std::uint64_t idle_connections()
    {
        std::uint64_t count = 0;
        this->entry.call(
            [this, &count]
            {
                count = this->entry.server->connection_counters().upstream_idle;
            });
        return count;
    }

    upload_upstream upstream;
    running_server entry;
};

server_settings settings_with_body_timeout(duration timeout)
{
    server_settings settings;
    settings.body_timeout = timeout;
    return settings;
}

} // namespace

// Guards against a connection that is used again while the rest of an upload,
// which was answered early and then left by its caller, is due on it.
Test(left_upload, answered_early_its_connection_takes_no_other_request)
{
    uploading_entry host;
    {
        wire caller = host.begin_upload(answer_time::after_head);
    }
    while (host.upstream.seen().cut == 0 && host.idle_connections() == 0)
    {
        std::this_thread::sleep_for(1ms);
    }
    std::optional<answer_text> const next = host.upload(2, 100);
    cr_assert(next.has_value());
    cr_expect_eq(next->body(), "2");
    cr_expect_eq(host.upstream.seen().foreign, 0);
    cr_expect_eq(host.upstream.connections(), 2);
}

// Guards against an upstream that works on, and a slot that is held, for an
// upload that its caller has left.
Test(left_upload, unanswered_it_is_cancelled_at_once)
{
    uploading_entry host;
    {
        wire caller = host.begin_upload(answer_time::after_body);
    }
    cr_expect(host.upstream.await(&counts::cut));
}

// Guards against an answer "not run" for work that an upstream has begun to
// read, and against a caller and an upstream that wait for a rest that cannot
// come.
Test(left_upload, broken_chunk_in_its_rest_is_refused_as_unknown)
{
    uploading_entry host;
    wire caller = host.begin_chunks();
    caller.send("no length\r\n");
    expect_unknown(caller.answer(), 400);
    cr_expect(host.upstream.await(&counts::cut));
    cr_expect_eq(host.upload(2, 100)->body(), "2");
}

// Guards against a body over the limit that shows only after a part has been
// passed on.
Test(left_upload, rest_above_the_limit_is_refused_as_unknown)
{
    uploading_entry host;
    wire caller = host.begin_chunks();
    caller.send(upload_chunk(1, upload_part, 2 * upload_size));
    expect_unknown(caller.answer(), 413);
    cr_expect(host.upstream.await(&counts::cut));
}

// Guards against a caller that stops sending and holds a slot for as long as it
// likes.
Test(left_upload, stalled_caller_is_refused_as_unknown)
{
    uploading_entry host(settings_with_body_timeout(500ms));
    wire caller = host.begin_upload(answer_time::after_body);
    expect_unknown(caller.answer(), 400);
    cr_expect(host.upstream.await(&counts::cut));
}

// Guards against a caller's pause that is taken for the upstream's silence.
Test(left_upload, pause_of_the_caller_is_no_silence_of_the_upstream)
{
    uploading_entry host({}, 100ms);
    wire caller = host.begin_upload(answer_time::after_body);
    std::this_thread::sleep_for(500ms);
    caller.send(upload_bytes(1, upload_part, upload_size - upload_part));
    std::optional<answer_text> const answer = caller.answer();
    cr_assert(answer.has_value());
    cr_expect_eq(answer->body(), "1");
}

// Guards against work that goes on for a caller that has sent a long body and
// left.
Test(left_upload, left_after_its_body_it_is_cancelled_at_once)
{
    uploading_entry host;
    {
        wire caller = host.entry.connect();
        caller.send(measured_head(1, answer_time::never) +
                    upload_bytes(1, 0, upload_size));
        cr_assert(host.upstream.await(&counts::whole));
    }
    cr_expect(host.upstream.await(&counts::left));
}

// Guards against an early answer that is lost because its upstream closes the
// connection before it has read the upload.
Test(left_upload, early_answer_of_an_upstream_that_closes_is_delivered)
{
    uploading_entry host;
    wire caller = host.begin_upload(answer_time::before_close);
    cr_assert(host.upstream.await(&counts::closed));
    caller.send(upload_bytes(1, upload_part, upload_size - upload_part));
    std::optional<answer_text> const answer = caller.answer();
    cr_assert(answer.has_value());
    cr_expect_eq(answer->body(), "1");
    cr_expect_eq(host.idle_connections(), 0U);
    cr_expect_eq(host.upload(2, 100)->body(), "2");
}

// Guards against an answer that is lost to a reset because its caller's upload
// has not been read.
Test(left_upload, early_answer_is_followed_by_no_reset)
{
    uploading_entry host;
    wire caller = host.begin_upload(answer_time::before_close);
    cr_assert(host.upstream.await(&counts::closed));
    caller.send(upload_bytes(1, upload_part, upload_size - upload_part));
    cr_assert(caller.answer().has_value());
    char byte = 0;
    boost::system::error_code error;
    caller.socket.read_some(boost::asio::buffer(&byte, 1), error);
    cr_expect(error == boost::asio::error::eof, "%s", error.message().c_str());
}

// Guards against an upstream that works on, and a caller that gets no answer,
// when the deadline passes in the middle of an upload.
Test(left_upload, deadline_that_passes_in_it_is_answered_while_bytes_come)
{
    constexpr int rounds = 10;
    // No sender ends it before its deadline.
    constexpr std::size_t large = std::size_t{4} << 30U;
    uploading_entry host({}, std::chrono::hours(1), large);
    for (int round = 1; round <= rounds; ++round)
    {
        wire caller = host.entry.connect();
        caller.send(upload_head(
            round, answer_time::after_body,
            fmt::format("Content-Length: {}\r\nBilberry-Deadline-Ms: 200",
                        large)));
        std::atomic<bool> answered = false;
        std::thread sender(
            [&caller, &answered, round]
            {
                std::size_t sent = 0;
                while (!answered && sent < large)
                {
                    std::size_t const count = 512;
                    caller.send(upload_bytes(round, sent, count));
                    sent += count;
                }
            });
        std::optional<answer_text> const answer = caller.answer();
        answered = true;
        sender.join();
        expect_unknown(answer, 504);
    }
    cr_expect(host.upstream.await(&counts::cut, host.upstream.seen().begun));
}
