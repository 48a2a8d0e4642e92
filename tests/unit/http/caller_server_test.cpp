#include "tests/unit/http/http_fixture.hpp"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <tuple>
#include <variant>

using namespace bilberrylead;
using namespace bilberrylead::http;

Test(caller_server, request_through_entry_gets_whole_answer)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry;
    entry.configure({upstream.port()});
    std::optional<answer_text> const answer =
        entry.ask(post("/s/path?x=1", "payload"));
    cr_assert(answer.has_value());
    cr_assert_eq(answer->result_int(), 200);
    cr_assert_eq(answer->body(), "/s/path?x=1payload");
    cr_assert_eq(std::string((*answer)["Bilberry-Outcome"]), "done");
}

Test(caller_server, ready_before_and_after_configuration_is_503_then_200)
{
    running_server entry;
    cr_assert_eq(entry.ask(get("/ready"))->result_int(), 503);
    entry.configure({9});
    cr_assert_eq(entry.ask(get("/ready"))->result_int(), 200);
}

Test(caller_server, steering_names_service_revision_and_entry_hosts)
{
    running_server entry;
    entry.configure({9});
    std::optional<answer_text> const answer =
        entry.ask(get("/steering?service=s"));
    cr_assert_eq(answer->result_int(), 200);
    nlohmann::json const page = nlohmann::json::parse(answer->body());
    cr_assert_eq(page["service"].get<std::string>(), "s");
    cr_assert_eq(page["revision"].get<int>(), 1);
    cr_assert_eq(page["ttl_s"].get<int>(), 5);
    cr_assert_eq(page["entry_hosts"][0]["id"].get<std::string>(), "e1");
    cr_assert_eq(page["entry_hosts"][0]["port"].get<int>(),
                 entry.server->port());
}

Test(caller_server, pipelined_requests_are_answered_in_order)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry;
    entry.configure({upstream.port()});
    wire caller = entry.connect();
    caller.send(get("/s/1") + get("/s/2") + get("/s/3"));
    for (std::string const target : {"/s/1", "/s/2", "/s/3"})
    {
        std::optional<answer_text> const answer = caller.answer();
        cr_assert(answer.has_value());
        cr_assert_eq(answer->body(), target);
    }
}

Test(caller_server, unreachable_upstream_is_not_run_with_retry_after)
{
    std::uint16_t const closed_port = []
    {
        fake_upstream const gone([](wire&, int) {});
        return gone.port();
    }();
    running_server entry;
    entry.configure({closed_port});
    std::optional<answer_text> const answer = entry.ask(get("/s/1"));
    cr_assert_eq(answer->result_int(), 503);
    cr_assert_eq(std::string((*answer)["Bilberry-Outcome"]), "not-run");
    cr_assert_eq(std::string((*answer)["Retry-After"]), "1");
    cr_assert_eq(std::string((*answer)["Content-Type"]),
                 "application/problem+json");
    nlohmann::json const body = nlohmann::json::parse(answer->body());
    cr_assert_eq(body["status"].get<int>(), 503);
}

Test(caller_server, guarded_request_is_claimed_run_recorded_and_repeated)
{
    fake_upstream upstream(
        [](wire& connection, int)
        {
            echo(connection);
        });
    running_server entry;
    std::optional<once::recorded_answer> record;
    entry.outside = [&entry, &record](entry::effect const& decided)
    {
        if (entry::request_claim const* claim =
                std::get_if<entry::request_claim>(&decided))
        {
            once::claim_verdict verdict = once::claim_granted{};
            if (record.has_value())
            {
                verdict = once::claim_recorded{*record};
            }
            entry.server->dispatch(
                entry::claim_answered{claim->request, verdict});
        }
        if (entry::report_completion const* done =
                std::get_if<entry::report_completion>(&decided))
        {
            record = done->answer;
            entry.server->dispatch(entry::completion_stored{done->request});
        }
    };
    entry.configure({upstream.port()},
                    [](config::service& service)
                    {
                        service.guarded = true;
                    });
    for (int round = 0; round < 2; ++round)
    {
        std::optional<answer_text> const answer =
            entry.ask(post("/s/grant", "body", "Idempotency-Key: k\r\n"));
        cr_assert_eq(answer->result_int(), 200);
        cr_assert_eq(answer->body(), "/s/grantbody");
    }
    cr_assert_eq(upstream.connections.load(), 1);
}

// Guards against decisions that go on from a state that an exception has left
// incomplete.
Test(caller_server, exception_in_a_decision_ends_the_process, .signal = SIGABRT)
{
    running_server entry;
    entry.outside = [](entry::effect const&)
    {
        throw std::logic_error("an invariant is broken");
    };
    entry.configure({1},
                    [](config::service& service)
                    {
                        service.idempotent = false;
                        service.guarded = true;
                    });
    std::ignore = entry.ask(post("/s/x", "body", "Idempotency-Key: k\r\n"));
}
