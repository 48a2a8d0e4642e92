#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <variant>

namespace bilberrylead::entry
{

namespace
{

constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_unprocessable = 422;

/// How long a late grant is still looked for. A claim that the control hosts
/// answer after that is theirs to expire.
constexpr duration late_claim_time = std::chrono::seconds(60);

} // namespace

live_request* entry_reducer::find(request_number number)
{
    auto const found = this->live.find(number);
    return found == this->live.end() ? nullptr : &found->second;
}

void entry_reducer::set_wake(live_request& request, instant when)
{
    this->wakes.erase({request.wake, request.number});
    request.wake = when;
    this->wakes.emplace(when, request.number);
}

void entry_reducer::free_slot(live_request const& request)
{
    assert(!request.tried.empty());
    this->state_of(request.service).free_slot(request.tried.back());
    this->freed.insert(request.service);
}

void entry_reducer::on(claim_answered const& happened)
{
    bool const granted =
        std::holds_alternative<once::claim_granted>(happened.verdict);
    auto const late = this->late_claims.find(happened.request);
    if (late != this->late_claims.end())
    {
        if (granted)
        {
            this->out.push_back(report_release{happened.request, late->second});
        }
        this->late_claims.erase(late);
        return;
    }
    live_request* request = this->find(happened.request);
    if (request == nullptr ||
        request->life.current() != request_state::claiming)
    {
        return;
    }
    request->life.pause();
    if (granted)
    {
        // The records know of no run, so an earlier sending was not run.
        request->holds_claim = true;
        request->maybe_ran_before = false;
        this->place(*request);
        return;
    }
    this->answer_verdict(*request, happened.verdict);
}

void entry_reducer::answer_verdict(live_request& request,
                                   once::claim_verdict const& verdict)
{
    if (std::holds_alternative<once::claim_in_progress>(verdict))
    {
        this->problem_end(request, status_conflict, refusal_reason::in_progress,
                          this->chosen.retry_after);
        return;
    }
    if (std::holds_alternative<once::claim_mismatch>(verdict))
    {
        this->problem_end(request, status_unprocessable,
                          refusal_reason::key_mismatch, duration::zero());
        return;
    }
    if (std::holds_alternative<once::claim_outcome_unknown>(verdict))
    {
        this->give_up_unknown(request, refusal_reason::earlier_unknown);
        return;
    }
    if (once::claim_recorded const* record =
            std::get_if<once::claim_recorded>(&verdict))
    {
        this->out.push_back(answer_recorded{request.number, record->answer});
        this->count_end(request, &service_counters::recorded);
        this->finish(request);
        return;
    }
    this->refuse(request, refusal_reason::claim_refused);
}

void entry_reducer::on(completion_stored const& happened)
{
    live_request* request = this->find(happened.request);
    if (request != nullptr && request->life.current() == request_state::storing)
    {
        this->out.push_back(answer_collected{request->number});
        this->count_end(*request, &service_counters::done);
        this->finish(*request);
    }
}

void entry_reducer::on(caller_gone const& happened)
{
    live_request* request = this->find(happened.request);
    if (request == nullptr || request->answered)
    {
        return;
    }
    ++this->counted.services[request->service].callers_gone;
    request->answered = true;
    request->outcome = request_outcome::caller_gone;
    switch (request->life.current())
    {
    case request_state::claiming:
    case request_state::waiting:
    case request_state::pausing:
        this->refuse(*request, refusal_reason::deadline);
        return;
    case request_state::running:
    case request_state::collecting:
        if (request->guarded)
        {
            // The work goes on: its caller will ask again with the same key
            // and must find the answer, not an unknown outcome.
            return;
        }
        break;
    case request_state::storing:
        this->finish(*request);
        return;
    case request_state::passing:
        break;
    }
    this->out.push_back(cancel_upstream{request->number});
    this->free_slot(*request);
    this->finish(*request);
}

void entry_reducer::on(tick const& /*happened*/)
{
    while (!this->wakes.empty() && this->wakes.begin()->first <= this->now)
    {
        request_number const number = this->wakes.begin()->second;
        this->wakes.erase(this->wakes.begin());
        live_request* request = this->find(number);
        assert(request != nullptr);
        this->expire(*request);
    }
    while (!this->late_claim_ends.empty() &&
           this->late_claim_ends.front().first <= this->now)
    {
        this->late_claims.erase(this->late_claim_ends.front().second);
        this->late_claim_ends.pop_front();
    }
    for (auto& [service, state] : this->states)
    {
        state.check(this->now);
        this->refuse_expired(state);
        this->freed.insert(service);
    }
    this->report_limits();
    this->crashes.expire(this->now);
    this->losses.expire(this->now);
    this->look_for_drain_end();
}

void entry_reducer::expire(live_request& request)
{
    switch (request.life.current())
    {
    case request_state::claiming:
    case request_state::waiting:
        this->refuse(request, refusal_reason::deadline);
        return;
    case request_state::pausing:
        this->place(request);
        return;
    case request_state::running:
    case request_state::collecting:
        this->expire_run(request);
        return;
    case request_state::storing:
        this->out.push_back(answer_collected{request.number});
        this->count_end(request, &service_counters::done);
        this->finish(request);
        return;
    case request_state::passing:
        return;
    }
}

void entry_reducer::refuse(live_request& request, refusal_reason reason)
{
    this->refuse(request, reason, this->chosen.retry_after);
}

void entry_reducer::refuse(live_request& request, refusal_reason reason,
                           duration retry_after)
{
    // Another try of idempotent work may be refused after one that ran.
    if (request.maybe_ran)
    {
        this->give_up_unknown(request, reason);
        return;
    }
    this->drop_claim(request);
    if (!request.answered && request.maybe_ran_before)
    {
        request.outcome = request_outcome::unknown;
        request.reason = reason;
        this->out.push_back(
            answer_unknown{request.number, reason, retry_after});
        ++this->counted.refusals.at(static_cast<std::size_t>(reason));
        this->count_end(request, &service_counters::unknown);
    }
    else if (!request.answered)
    {
        request.outcome = request_outcome::not_run;
        request.reason = reason;
        this->out.push_back(
            answer_not_run{request.number, reason, retry_after});
        ++this->counted.refusals.at(static_cast<std::size_t>(reason));
        this->count_end(request, &service_counters::not_run);
    }
    this->finish(request);
}

void entry_reducer::drop_claim(live_request& request)
{
    if (request.guarded && request.life.current() == request_state::claiming)
    {
        this->late_claims.emplace(request.number, request.claim);
        this->late_claim_ends.emplace_back(this->now + late_claim_time,
                                           request.number);
    }
    else if (request.holds_claim)
    {
        this->out.push_back(report_release{request.number, request.claim});
    }
}

void entry_reducer::give_up_unknown(live_request& request,
                                    refusal_reason reason)
{
    if (request.holds_claim)
    {
        this->out.push_back(report_unknown{request.number, request.claim});
    }
    if (!request.answered)
    {
        request.outcome = request_outcome::unknown;
        request.reason = reason;
        this->out.push_back(answer_unknown{request.number, reason, {}});
        ++this->counted.refusals.at(static_cast<std::size_t>(reason));
        this->count_end(request, &service_counters::unknown);
    }
    this->finish(request);
}

void entry_reducer::finish(live_request& request)
{
    this->last_work = this->now;
    request_number const number = request.number;
    if (request.life.current() == request_state::waiting)
    {
        this->state_of(request.service)
            .cancel(static_cast<std::uint64_t>(number), request.reached);
    }
    this->wakes.erase({request.wake, number});
    this->tell_end(request);
    this->live.erase(number);
}

region_id entry_reducer::name_of(std::optional<std::uint32_t> region) const
{
    for (auto const& [name, number] : this->region_numbers)
    {
        if (region == number)
        {
            return name;
        }
    }
    return {};
}

void entry_reducer::tell_end(live_request const& request)
{
    request_ended end;
    end.request = request.number;
    end.service = request.service;
    end.routed_by = request.routed_by;
    end.split = request.split;
    end.outcome = request.outcome;
    end.reason = request.reason;
    end.status = request.status;
    end.digest = request.digest;
    end.caller = request.caller;
    end.tried = request.tried;
    end.region = this->name_of(request.region);
    end.expected_wait = request.expected_wait;
    end.run_factor = request.run_factor;
    end.usual_run = this->state_of(request.service).usual_run();
    end.took = this->now - request.arrived;
    end.answered_after = request.answered_after;
    this->out.push_back(std::move(end));
}

void entry_reducer::refuse_arrival(request_arrived const& happened,
                                   refusal_reason reason)
{
    ++this->counted.refusals.at(static_cast<std::size_t>(reason));
    request_ended end;
    end.request = happened.request;
    end.service = happened.service;
    end.digest = happened.digest;
    end.caller = happened.caller;
    end.outcome =
        happened.repeated ? request_outcome::unknown : request_outcome::not_run;
    end.reason = reason;
    this->out.push_back(std::move(end));
    if (happened.repeated)
    {
        this->out.push_back(
            answer_unknown{happened.request, reason, this->chosen.retry_after});
        return;
    }
    this->out.push_back(
        answer_not_run{happened.request, reason, this->chosen.retry_after});
}

void entry_reducer::problem(request_number number, service_id const& service,
                            std::uint16_t status, refusal_reason reason,
                            duration retry_after)
{
    ++this->counted.refusals.at(static_cast<std::size_t>(reason));
    if (!service.empty())
    {
        ++this->counted.services[service].problems;
    }
    this->out.push_back(answer_problem{number, status, reason, retry_after});
}

void entry_reducer::problem_end(live_request& request, std::uint16_t status,
                                refusal_reason reason, duration retry_after)
{
    request.outcome = request_outcome::problem;
    request.reason = reason;
    this->problem(request.number, request.service, status, reason, retry_after);
    this->finish(request);
}

void entry_reducer::count_end(live_request const& request,
                              std::uint64_t service_counters::* kind)
{
    service_counters& service = this->counted.services[request.service];
    ++(service.*kind);
    duration const took = this->now - request.arrived;
    service.latency_sum += took;
    auto const bound = std::find_if(
        service_counters::bounds_ms.begin(), service_counters::bounds_ms.end(),
        [took](std::uint32_t limit)
        {
            return took <= std::chrono::milliseconds(limit);
        });
    ++service.latency.at(
        static_cast<std::size_t>(bound - service_counters::bounds_ms.begin()));
}

} // namespace bilberrylead::entry
