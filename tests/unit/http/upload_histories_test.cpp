#include "tests/unit/http/upload_upstream.hpp"

#include <array>
#include <random>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

constexpr std::uint32_t histories = 40;
constexpr int steps = 12;

/// What a caller does with its upload.
enum class upload_step
{
    small,
    whole,
    whole_in_chunks,
    leave,
    leave_in_chunks,
    break_chunk,
    last = break_chunk,
};

/// Callers in a drawn order before one upstream, over few kept connections.
struct upload_history
{
    explicit upload_history(std::uint32_t seed) : draw(seed)
    {
        this->entry.configure({this->upstream.port()},
                              [](config::service& service)
                              {
                                  service.idempotent = false;
                                  service.deadline = std::chrono::hours(1);
                                  service.progress_timeout =
                                      std::chrono::hours(1);
                              });
    }

    int below(int end)
    {
        return std::uniform_int_distribution<int>(0, end - 1)(this->draw);
    }

    answer_time draw_time()
    {
        constexpr std::array times = {answer_time::after_body,
                                      answer_time::after_head,
                                      answer_time::twice};
        return times.at(static_cast<std::size_t>(this->below(times.size())));
    }

    void play(int number)
    {
        upload_step const step = static_cast<upload_step>(
            this->below(static_cast<int>(upload_step::last) + 1));
        answer_time const when = this->draw_time();
        wire caller = this->entry.connect();
        switch (step)
        {
        case upload_step::small:
            caller.send(measured_head(number, when, 100) +
                        upload_bytes(number, 0, 100));
            this->expect_own(caller, number);
            break;
        case upload_step::whole:
            caller.send(measured_head(number, when) +
                        upload_bytes(number, 0, upload_size));
            this->expect_own(caller, number);
            break;
        case upload_step::whole_in_chunks:
            caller.send(chunked_head(number, when) +
                        upload_chunk(number, 0, upload_part) +
                        upload_chunk(number, upload_part, upload_part) +
                        "0\r\n\r\n");
            this->expect_own(caller, number);
            break;
        case upload_step::leave:
            caller.send(measured_head(number, when) +
                        upload_bytes(number, 0, upload_part));
            this->wait_for_turn(number);
            break;
        case upload_step::leave_in_chunks:
            caller.send(chunked_head(number, when) +
                        upload_chunk(number, 0, upload_part));
            this->wait_for_turn(number);
            break;
        case upload_step::break_chunk:
            caller.send(chunked_head(number, when) +
                        upload_chunk(number, 0, upload_part));
            this->wait_for_turn(number);
            caller.send("no length\r\n");
            this->expect_refusal(caller, number);
            break;
        }
    }

    void expect_own(wire& caller, int number)
    {
        std::optional<answer_text> const answer = caller.answer();
        cr_assert(answer.has_value(), "request %d", number);
        cr_assert_eq(answer->body(), std::to_string(number));
    }

    void expect_refusal(wire& caller, int number)
    {
        std::optional<answer_text> const answer = caller.answer();
        cr_assert(answer.has_value(), "request %d", number);
        cr_assert_eq(answer->result_int(), 400, "request %d: %u", number,
                     answer->result_int());
    }

    /// Lets the upstream see the head of an upload first, in half of the cases.
    void wait_for_turn(int number)
    {
        if (this->below(2) == 0)
        {
            cr_assert(
                this->upstream.await(&upload_upstream::counts::newest, number));
        }
    }

    std::mt19937 draw;
    upload_upstream upstream;
    running_server entry;
};

} // namespace

// Guards against bytes of one request where those of another are due, after any
// order of whole, early answered, left and broken uploads.
Test(upload_histories, each_connection_carries_whole_requests_one_by_one)
{
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        upload_history history(seed);
        for (int number = 1; number <= steps; ++number)
        {
            history.play(number);
        }
        cr_assert_eq(history.upstream.seen().foreign, 0, "seed %u", seed);
    }
}
