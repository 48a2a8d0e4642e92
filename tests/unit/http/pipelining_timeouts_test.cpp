#include "tests/unit/http/pipelining_fixture.hpp"
#include "tests/unit/http/stepped_host.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

// Long enough that they pass only where the test says so.
constexpr duration idle_timeout = 60min;
constexpr duration head_timeout = 30min;

/// A host that pipelines, with one caller, whose time the test sets forward.
struct timed_caller
{
    timed_caller()
    {
        server_settings settings = pipelining(8);
        settings.idle_timeout = idle_timeout;
        settings.head_timeout = head_timeout;
        settings.body_timeout = 10 * idle_timeout;
        settings.write_timeout = 10 * idle_timeout;
        settings.kept_body = 0;
        this->host.start(settings);
        this->caller = this->host.connect();
        this->host.settle();
    }

    ~timed_caller()
    {
        this->host.forget(*this->caller);
    }

    /// Sends it and waits until so many requests are at upstreams.
    void send(std::string const& text, std::size_t at_upstreams)
    {
        this->host.send(*this->caller, text, at_upstreams);
    }

    /// The earliest request at an upstream is answered.
    void answer_one()
    {
        std::vector<upstream_side*> const open = this->host.unanswered();
        upstream_side* const side = *std::min_element(
            open.begin(), open.end(),
            [](upstream_side const* one, upstream_side const* other)
            {
                return one->request->target() < other->request->target();
            });
        std::size_t const before = this->caller->answers.size();
        side->send(whole_answer_text("done"));
        side->finish();
        cr_assert(this->host.run_until(
            [this, before]
            {
                return this->caller->answers.size() == before + 1;
            }));
        this->host.settle();
    }

    /// Looks for what has expired as the host does, that much later.
    void pass(duration time)
    {
        std::shared_ptr<caller_connection> const served =
            this->caller->connection.lock();
        cr_assert(served != nullptr);
        served->expire(clock_now() + time);
        this->host.settle();
    }

    bool has_ended()
    {
        return this->host.run_until(
            [this]
            {
                return this->caller->ended;
            });
    }

    stepped_host host;
    std::unique_ptr<stepped_caller> caller;
};

} // namespace

// A slow upstream must not make a busy connection look idle.
Test(pipelining_timeouts, idle_time_does_not_run_while_requests_are_unanswered)
{
    timed_caller subject;
    subject.send(get("/s/1") + get("/s/2"), 2);
    subject.pass(2 * idle_timeout);
    subject.answer_one();
    subject.pass(2 * idle_timeout);
    subject.answer_one();
    cr_assert(not subject.caller->ended);
    subject.pass(idle_timeout / 2);
    cr_assert(not subject.caller->ended);
    subject.pass(idle_timeout);
    cr_assert(subject.has_ended());
    cr_assert_eq(subject.caller->answers.size(), 2);
}

// A request that was parsed ahead and waited for its turn is no idle
// connection either: its body may take longer than the idle time.
Test(pipelining_timeouts, idle_time_does_not_run_for_a_request_that_waited)
{
    timed_caller subject;
    std::string const body(64, 'b');
    std::string const text = post("/s/2", body);
    subject.send(get("/s/1"), 1);
    subject.send(text.substr(0, text.size() - 20), 1);
    subject.answer_one();
    subject.pass(idle_timeout);
    subject.send(text.substr(text.size() - 20), 1);
    subject.answer_one();
    cr_assert(not subject.caller->ended);
    cr_assert_eq(subject.caller->answers.back().result_int(), 200);
}

// A head that is on its way behind unanswered requests cannot be served yet,
// so its time begins with its turn, as without pipelining.
Test(pipelining_timeouts, head_time_runs_from_the_turn_of_the_request)
{
    timed_caller subject;
    subject.send(get("/s/1") + "GET /s/2 HT", 1);
    subject.pass(2 * head_timeout);
    cr_assert(not subject.caller->ended);
    subject.answer_one();
    subject.pass(head_timeout / 2);
    cr_assert_eq(subject.caller->answers.size(), 1);
    subject.pass(head_timeout);
    cr_assert(subject.host.run_until(
        [&subject]
        {
            return subject.caller->answers.size() == 2;
        }));
    cr_assert_eq(subject.caller->answers.back().result_int(), 408);
    cr_assert(not subject.caller->answers.back().keep_alive());
    cr_assert(subject.has_ended());
}

// The head may still come in time; the time that passed before its turn is
// not counted.
Test(pipelining_timeouts, head_that_waited_may_still_become_whole)
{
    timed_caller subject;
    subject.send(get("/s/1") + "GET /s/2 HT", 1);
    subject.pass(2 * head_timeout);
    subject.send("TP/1.1\r\nHos", 1);
    subject.answer_one();
    subject.send("t: h\r\n\r\n", 1);
    subject.answer_one();
    cr_assert(not subject.caller->ended);
    cr_assert_eq(subject.caller->answers.back().result_int(), 200);
}
