#include "bilberrylead/http/http_counters.hpp"
#include "tests/unit/http/pipelining_fixture.hpp"
#include "tests/unit/http/stepped_host.hpp"

#include <memory>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

constexpr std::size_t window = 4;
constexpr std::size_t held_bytes = 4096;
constexpr std::size_t piece = 1024;
/// More than the sockets of a caller that does not read can take.
constexpr std::size_t answer_bytes = std::size_t{256} << 10U;

server_settings small_pieces(std::size_t memory)
{
    server_settings settings = pipelining(window, held_bytes);
    settings.piece = piece;
    settings.memory = memory;
    return settings;
}

/// Callers that send more than a window and read nothing, and a host whose
/// upstreams answer all that arrives.
struct slow_callers
{
    slow_callers(server_settings const& settings, std::size_t count)
    {
        this->host.start(settings);
        for (std::size_t made = 0; made < count; ++made)
        {
            this->callers.push_back(this->host.connect(4096));
            this->callers.back()->reads = false;
            std::string text;
            for (std::size_t sent = 0; sent < 3 * window; ++sent)
            {
                text += get("/s/slow");
            }
            cr_assert(this->callers.back()->send(text));
        }
    }

    ~slow_callers()
    {
        for (std::unique_ptr<stepped_caller> const& each : this->callers)
        {
            this->host.forget(*each);
        }
    }

    /// Answers what has arrived; true if that was anything.
    bool answer_all()
    {
        std::vector<upstream_side*> const open = this->host.unanswered();
        for (upstream_side* const side : open)
        {
            bool const slow = side->request->target() == "/s/slow";
            this->answered_slow += slow ? 1 : 0;
            side->send(whole_answer_text(slow ? std::string(answer_bytes, 'x')
                                              : "quick"));
            side->finish();
        }
        return not open.empty();
    }

    /// Until neither the host nor an upstream has anything to do.
    void settle()
    {
        do
        {
            this->host.settle();
        } while (this->answer_all());
    }

    /// True if another caller's request is served meanwhile.
    bool serves_another()
    {
        std::unique_ptr<stepped_caller> const other = this->host.connect();
        other->send(get("/s/quick"));
        bool const ended = this->host.run_until(
            [this, &other]
            {
                this->answer_all();
                return not other->answers.empty() || other->ended;
            });
        this->host.forget(*other);
        return ended && not other->answers.empty() &&
               other->answers.front().result_int() == 200;
    }

    /// True once that many requests of slow callers have been answered by
    /// upstreams, and all that this causes has happened.
    bool settles_at(std::size_t answered)
    {
        bool const reached = this->host.run_until(
            [this, answered]
            {
                this->answer_all();
                return this->answered_slow >= answered;
            });
        this->settle();
        return reached;
    }

    stepped_host host;
    std::vector<std::unique_ptr<stepped_caller>> callers;
    std::size_t answered_slow = 0;
};

} // namespace

// What a caller that does not read costs is its window, however much it has
// sent: so many requests with a piece and a held answer each.
Test(pipelining_slow_caller, costs_a_window_of_held_answers)
{
    slow_callers subject(small_pieces(std::size_t{1} << 20U), 1);
    cr_assert(subject.settles_at(window));
    cr_assert(subject.host.run_until(
        [&subject]
        {
            return subject.host.counters().held_answer_bytes ==
                   window * held_bytes;
        }));
    for (int other = 0; other < 20; ++other)
    {
        cr_assert(subject.serves_another());
    }
    http_counters const& counters = subject.host.counters();
    cr_assert_eq(subject.answered_slow, window);
    cr_assert_eq(counters.held_answer_bytes, window * held_bytes);
    cr_assert_eq(counters.held_answer_bytes_peak, window * held_bytes);
    cr_assert(subject.host.run_until(
        [&counters]
        {
            return counters.memory_in_use == window * (piece + held_bytes);
        }));
}

// Callers that do not read must leave memory to the others: what is held for
// them ends at half of the host's bound, and comes within one answer of it.
Test(pipelining_slow_caller, many_of_them_leave_half_of_the_memory)
{
    constexpr std::size_t slow = 16;
    constexpr std::size_t memory = slow * window * held_bytes / 2;
    slow_callers subject(small_pieces(memory), slow);
    cr_assert(subject.settles_at(slow));
    cr_assert(subject.host.run_until(
        [&subject]
        {
            subject.answer_all();
            return subject.host.counters().memory_in_use >
                   memory / 2 - held_bytes;
        }));
    subject.settle();
    for (int other = 0; other < 20; ++other)
    {
        cr_assert(subject.serves_another());
    }
    http_counters const& counters = subject.host.counters();
    cr_assert_gt(counters.memory_in_use, memory / 2 - held_bytes);
    // The first request of each caller is no work ahead.
    cr_assert_leq(counters.memory_in_use, memory / 2 + slow * piece);
    cr_assert_leq(counters.held_answer_bytes, memory / 2);
}
