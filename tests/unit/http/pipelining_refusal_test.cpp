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

/// A host with one caller.
struct one_caller
{
    explicit one_caller(server_settings const& settings)
    {
        this->host.start(settings);
        this->caller = this->host.connect();
    }

    ~one_caller()
    {
        this->host.forget(*this->caller);
    }

    /// Sends it and waits until so many requests are at upstreams.
    void send(std::string const& text, std::size_t at_upstreams)
    {
        this->host.send(*this->caller, text, at_upstreams);
    }

    /// Upstreams answer what they have with the targets.
    void answer_all()
    {
        for (upstream_side* const side : this->host.unanswered())
        {
            side->send(whole_answer_text(std::string(side->request->target())));
            side->finish();
        }
    }

    /// The caller gets these statuses, only the last one of which ends the
    /// connection, and then its end.
    void expect_statuses(std::vector<unsigned> const& statuses)
    {
        cr_assert(this->host.run_until(
            [this]
            {
                return this->caller->ended;
            }));
        cr_assert_eq(this->caller->answers.size(), statuses.size());
        for (std::size_t place = 0; place < statuses.size(); ++place)
        {
            answer_text const& answer = this->caller->answers[place];
            cr_assert_eq(answer.result_int(), statuses[place]);
            cr_assert_eq(answer.keep_alive(), place + 1 < statuses.size());
        }
    }

    stepped_host host;
    std::unique_ptr<stepped_caller> caller;
};

} // namespace

// A refusal of the host's own at a planned stop would close the connection;
// in the middle of the window it must not, as answers follow.
Test(pipelining_refusal, at_a_stop_leaves_the_close_to_the_last_dispatched)
{
    one_caller subject(pipelining(8));
    subject.send(get("/s/1") + get("/e/2") + get("/s/3"), 2);
    subject.host.core->dispatch(entry::drain_requested{});
    subject.send(get("/s/4"), 2);
    subject.answer_all();
    subject.expect_statuses({200, 503, 200});
    cr_assert_eq(subject.caller->answers.back().body(), "/s/3");
    cr_assert(subject.host.unanswered().empty());
}

// The same with the refusal as the last one that was dispatched.
Test(pipelining_refusal, at_a_stop_closes_if_it_is_the_last_dispatched)
{
    one_caller subject(pipelining(8));
    subject.send(get("/s/1") + get("/s/2") + get("/e/3"), 2);
    subject.host.core->dispatch(entry::drain_requested{});
    subject.send(get("/s/4"), 2);
    subject.answer_all();
    subject.expect_statuses({200, 200, 503});
    cr_assert(subject.host.unanswered().empty());
}

// The caller asked for the end with the request that is refused: what it sent
// behind it must never run.
Test(pipelining_refusal, of_a_request_that_closes_lets_nothing_run_behind_it)
{
    one_caller subject(pipelining(8));
    subject.send(
        get("/s/1") + get("/e/2", "Connection: close\r\n") + get("/s/3"), 1);
    subject.answer_all();
    subject.expect_statuses({200, 503});
    cr_assert(subject.host.unanswered().empty());
}

// A body that is refused for lack of memory has not been read, so the
// connection cannot go on: 503 with `Connection: close` behind the answers to
// the requests before it, and nothing behind it may run.
Test(pipelining_refusal, for_lack_of_memory_closes_in_its_turn)
{
    server_settings settings = pipelining(8);
    settings.piece = 1024;
    settings.memory = 10 * settings.piece;
    one_caller subject(settings);
    std::string const body(12 * settings.piece, 'b');
    subject.send(get("/s/1") + get("/s/2") + post("/s/3", body) + get("/s/4"),
                 2);
    subject.answer_all();
    subject.expect_statuses({200, 200, 503});
    cr_assert(subject.host.unanswered().empty());
    cr_assert_eq(subject.host.counters().pipelined_requests, 1);
}
