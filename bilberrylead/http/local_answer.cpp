#include "bilberrylead/http/local_answer.hpp"

#include "bilberrylead/entry/refusal_reason.hpp"
#include "bilberrylead/http/header_names.hpp"
#include "bilberrylead/http/header_rules.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <utility>

namespace bilberrylead::http
{

namespace
{

using beast::http::field;
using beast::http::status;
using entry::refusal_reason;

std::string_view title_of(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::not_ready:
        return "This entry host has no configuration yet.";
    case refusal_reason::unknown_service:
        return "No service has this name.";
    case refusal_reason::key_missing:
        return "This service needs an Idempotency-Key.";
    case refusal_reason::key_mismatch:
        return "The Idempotency-Key was used with another request.";
    case refusal_reason::in_progress:
        return "The same request is running now.";
    case refusal_reason::no_upstream:
        return "No upstream may take this request.";
    case refusal_reason::no_room:
        return "Every upstream is busy.";
    case refusal_reason::caller_share:
        return "This caller has too many requests waiting.";
    case refusal_reason::deadline:
        return "The deadline passed.";
    case refusal_reason::claim_refused:
        return "The Idempotency-Key could not be recorded.";
    case refusal_reason::connect_failed:
        return "The upstream could not be reached.";
    case refusal_reason::upstream_refused:
        return "The upstream turned the request away.";
    case refusal_reason::connection_lost:
        return "The connection to the upstream broke.";
    case refusal_reason::upstream_silent:
        return "The upstream did not answer.";
    case refusal_reason::earlier_unknown:
        return "An earlier run ended without a known answer.";
    case refusal_reason::no_memory:
        return "This entry host is out of memory.";
    case refusal_reason::crashes_upstreams:
        return "Upstreams ended while they ran this request.";
    case refusal_reason::unknown_customer:
        return "The request carries no key of a customer.";
    case refusal_reason::over_limit:
        return "The customer's limit is used up.";
    case refusal_reason::no_common_region:
        return "The route and the customer share no region.";
    case refusal_reason::upstreams_resting:
        return "Every upstream has asked for a rest.";
    case refusal_reason::other_configuration:
        return "This entry host has another configuration.";
    case refusal_reason::body_incomplete:
        return "The rest of the request's body was not valid, or too slow.";
    case refusal_reason::stopping:
        return "This entry host is about to stop.";
    }
    return "";
}

std::string_view remedy_of(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::unknown_service:
        return "Put the service's name first in the path.";
    case refusal_reason::key_missing:
        return "Send one key for each piece of work.";
    case refusal_reason::key_mismatch:
        return "Send a new key for new work.";
    case refusal_reason::unknown_customer:
        return "Send exactly one valid key.";
    case refusal_reason::over_limit:
        return "It was not run. Send it again after Retry-After.";
    default:
        return "";
    }
}

/// Every text that goes in is fixed and free of quotes and controls.
whole_answer make_problem(status code, std::string_view type,
                          std::string_view title, std::string_view detail,
                          std::string_view outcome)
{
    whole_answer answer{code, 11};
    answer.set(field::content_type, "application/problem+json");
    answer.set(outcome_header, outcome);
    answer.body() = fmt::format(
        R"({{"type":"about:blank#{}","title":"{}","status":{},"detail":"{}",)"
        R"("outcome":"{}"}})",
        type, title, static_cast<unsigned>(code), detail, outcome);
    return answer;
}

void set_retry_after(whole_answer& answer, duration retry_after,
                     header_names const& names)
{
    if (retry_after > duration::zero() && names.fractional_retry_after)
    {
        answer.set(
            field::retry_after,
            fmt::format("{:.3f}",
                        std::chrono::duration<double>(retry_after).count()));
    }
    else if (retry_after > duration::zero())
    {
        // The header counts whole seconds; too early would be a lie.
        std::int64_t const seconds =
            std::chrono::ceil<std::chrono::seconds>(retry_after).count();
        answer.set(field::retry_after, std::to_string(seconds));
    }
}

} // namespace

whole_answer make_answer(entry::answer_not_run const& decision,
                         header_names const& names)
{
    whole_answer answer =
        make_problem(status::service_unavailable, to_string(decision.reason),
                     title_of(decision.reason),
                     decision.reason == refusal_reason::stopping
                         ? "It was not run. Send it to another entry host."
                         : "It was not run. Send it again after Retry-After.",
                     "not-run");
    set_retry_after(answer, decision.retry_after, names);
    return answer;
}

whole_answer make_answer(entry::answer_unknown const& decision,
                         header_names const& names)
{
    bool const late = decision.reason == refusal_reason::deadline ||
                      decision.reason == refusal_reason::upstream_silent;
    whole_answer answer = make_problem(
        late ? status::gateway_timeout : status::bad_gateway,
        to_string(decision.reason), title_of(decision.reason),
        "It may have run. Ask again with the same Idempotency-Key, or check "
        "before sending it anew.",
        "unknown");
    if (decision.retry_after > duration::zero())
    {
        set_retry_after(answer, decision.retry_after, names);
    }
    return answer;
}

whole_answer make_answer(entry::answer_problem const& decision,
                         header_names const& names)
{
    whole_answer answer = make_problem(
        static_cast<status>(decision.status), to_string(decision.reason),
        title_of(decision.reason), remedy_of(decision.reason),
        decision.reason == refusal_reason::in_progress ? "unknown" : "not-run");
    set_retry_after(answer, decision.retry_after, names);
    return answer;
}

whole_answer make_answer(once::recorded_answer const& record)
{
    whole_answer answer{static_cast<status>(record.status), 11};
    if (!record.content_type.empty())
    {
        answer.set(field::content_type, record.content_type);
    }
    answer.set(outcome_header, "done");
    if (record.body_dropped)
    {
        answer.set(body_dropped_header, "1");
    }
    answer.body().assign(record.body.begin(), record.body.end());
    return answer;
}

whole_answer make_refusal(status code, std::string_view title,
                          std::string_view detail)
{
    return make_problem(code, "bad-request", title, detail, "not-run");
}

whole_answer make_body_problem(status code)
{
    return make_problem(code, to_string(refusal_reason::body_incomplete),
                        title_of(refusal_reason::body_incomplete),
                        "A part of it was passed on, so it may have run.",
                        "unknown");
}

whole_answer make_page(status code, std::string body)
{
    whole_answer answer{code, 11};
    answer.set(field::content_type, "application/json");
    answer.set(field::cache_control, "no-store");
    answer.body() = std::move(body);
    return answer;
}

} // namespace bilberrylead::http
