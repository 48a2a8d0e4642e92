#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cstddef>
#include <map>
#include <variant>

namespace bilberrylead::entry
{

namespace
{

constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_unprocessable = 422;

/// Time for which the claim of an abandoned request is remembered. A claim that
/// is granted later expires on the control hosts.
constexpr duration abandoned_claim_retention = std::chrono::seconds(60);
/// Targets of split routes with counters of their own; the others are counted
/// together for each service.
constexpr std::size_t max_split_parts = 64;

} // namespace

live_request* entry_reducer::find(request_number number)
{
    auto const found = this->live_requests.find(number);
    return found == this->live_requests.end() ? nullptr : &found->second;
}

void entry_reducer::set_timer(live_request& request, instant when)
{
    this->timers.erase({request.timer, request.number});
    request.timer = when;
    this->timers.emplace(when, request.number);
}

void entry_reducer::release_slot(live_request const& request)
{
    if (!request.relayed_to.empty())
    {
        --this->relays_in_flight[request.relayed_to.back()];
        return;
    }
    assert(!request.tried.empty());
    this->state_of(request.service)
        .release_slot({request.tried.back(), request.incarnation});
    this->services_to_dispatch.insert(request.service);
}

void entry_reducer::on(claim_answered const& event)
{
    bool const granted =
        std::holds_alternative<once::claim_granted>(event.verdict);
    auto const late = this->abandoned_claims.find(event.request);
    if (late != this->abandoned_claims.end())
    {
        if (granted)
        {
            this->pending_effects.push_back(
                report_release{event.request, late->second});
        }
        this->abandoned_claims.erase(late);
        return;
    }
    live_request* request = this->find(event.request);
    if (request == nullptr ||
        request->life_cycle.current() != request_state::claiming)
    {
        return;
    }
    request->life_cycle.pause();
    if (granted)
    {
        // No run is on record, so no earlier attempt has run.
        request->holds_claim = true;
        request->earlier_may_have_run = false;
        this->place(*request);
        return;
    }
    this->answer_claim_verdict(*request, event.verdict);
}

void entry_reducer::answer_claim_verdict(live_request& request,
                                         once::claim_verdict const& verdict)
{
    if (std::holds_alternative<once::claim_in_progress>(verdict))
    {
        this->finish_with_problem(request, status_conflict,
                                  refusal_reason::in_progress,
                                  this->host_settings.retry_after);
        return;
    }
    if (std::holds_alternative<once::claim_mismatch>(verdict))
    {
        this->finish_with_problem(request, status_unprocessable,
                                  refusal_reason::key_mismatch,
                                  duration::zero());
        return;
    }
    if (std::holds_alternative<once::claim_outcome_unknown>(verdict))
    {
        this->abandon_as_unknown(request, refusal_reason::earlier_unknown);
        return;
    }
    if (once::claim_recorded const* record =
            std::get_if<once::claim_recorded>(&verdict))
    {
        this->pending_effects.push_back(
            answer_recorded{request.number, record->answer});
        this->count_end(request, &service_counters::recorded);
        this->finish(request);
        return;
    }
    this->refuse(request, refusal_reason::claim_refused);
}

void entry_reducer::on(completion_stored const& event)
{
    live_request* request = this->find(event.request);
    if (request != nullptr &&
        request->life_cycle.current() == request_state::storing)
    {
        this->pending_effects.push_back(answer_collected{request->number});
        this->count_end(*request, &service_counters::done);
        this->finish(*request);
    }
}

void entry_reducer::on(caller_gone const& event)
{
    live_request* request = this->find(event.request);
    if (request == nullptr || request->caller_done)
    {
        return;
    }
    ++this->current_counters.services[request->service].callers_gone;
    request->caller_done = true;
    request->outcome = request_outcome::caller_gone;
    switch (request->life_cycle.current())
    {
    case request_state::claiming:
    case request_state::waiting:
    case request_state::pausing:
        this->refuse(*request, refusal_reason::deadline);
        return;
    case request_state::running:
    case request_state::collecting:
        if (request->guarded && request->relayed_to.empty())
        {
            // The work continues: the caller will retry with the same key and
            // must then receive the answer rather than an unknown outcome.
            return;
        }
        break;
    case request_state::storing:
        this->finish(*request);
        return;
    case request_state::streaming:
        break;
    }
    this->pending_effects.push_back(cancel_upstream{request->number});
    this->release_slot(*request);
    this->finish(*request);
}

void entry_reducer::on(request_body_failed const& event)
{
    live_request* request = this->find(event.request);
    if (request == nullptr ||
        request->life_cycle.current() != request_state::running)
    {
        return;
    }
    // Guarded requests are read whole before they are sent.
    assert(!request->guarded);
    request->outcome = request_outcome::problem;
    request->reason = refusal_reason::body_incomplete;
    ++this->current_counters.refusals.at(
        static_cast<std::size_t>(refusal_reason::body_incomplete));
    ++this->current_counters.services[request->service].problems;
    this->pending_effects.push_back(cancel_upstream{request->number});
    this->release_slot(*request);
    this->finish(*request);
}

void entry_reducer::on(tick const& /*event*/)
{
    while (!this->timers.empty() && this->timers.begin()->first <= this->now)
    {
        request_number const number = this->timers.begin()->second;
        this->timers.erase(this->timers.begin());
        live_request* request = this->find(number);
        assert(request != nullptr);
        this->expire(*request);
    }
    while (!this->abandoned_claim_expiries.empty() &&
           this->abandoned_claim_expiries.front().first <= this->now)
    {
        this->abandoned_claims.erase(
            this->abandoned_claim_expiries.front().second);
        this->abandoned_claim_expiries.pop_front();
    }
    for (auto& [service, state] : this->service_states)
    {
        state.advance(this->now);
        this->update_home_scope(service, state);
        this->refuse_expired(state);
        this->services_to_dispatch.insert(service);
    }
    this->report_limits();
    this->report_customers();
    this->crashes.expire(this->now);
    this->send_changed_crashes();
    this->repeat_probes();
    this->probe_for_contact();
    this->withdraw_crashes_of_cut();
    this->losses.expire(this->now);
    this->check_drain_progress();
}

void entry_reducer::expire(live_request& request)
{
    switch (request.life_cycle.current())
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
        this->pending_effects.push_back(answer_collected{request.number});
        this->count_end(request, &service_counters::done);
        this->finish(request);
        return;
    case request_state::streaming:
        return;
    }
}

void entry_reducer::refuse(live_request& request, refusal_reason reason)
{
    this->refuse(request, reason, this->host_settings.retry_after);
}

void entry_reducer::refuse(live_request& request, refusal_reason reason,
                           duration retry_after)
{
    // A retry of idempotent work may be refused after an earlier attempt has
    // run.
    if (request.may_have_run)
    {
        this->abandon_as_unknown(request, reason);
        return;
    }
    this->release_claim(request);
    this->return_token(request);
    if (!request.caller_done && request.earlier_may_have_run)
    {
        request.outcome = request_outcome::unknown;
        request.reason = reason;
        this->pending_effects.push_back(
            answer_unknown{request.number, reason, retry_after});
        ++this->current_counters.refusals.at(static_cast<std::size_t>(reason));
        this->count_end(request, &service_counters::unknown);
    }
    else if (!request.caller_done)
    {
        request.outcome = request_outcome::not_run;
        request.reason = reason;
        this->pending_effects.push_back(
            answer_not_run{request.number, reason, retry_after});
        ++this->current_counters.refusals.at(static_cast<std::size_t>(reason));
        this->count_end(request, &service_counters::not_run);
    }
    this->finish(request);
}

void entry_reducer::release_claim(live_request& request)
{
    if (request.guarded &&
        request.life_cycle.current() == request_state::claiming)
    {
        this->abandoned_claims.emplace(request.number, request.claim);
        this->abandoned_claim_expiries.emplace_back(
            this->now + abandoned_claim_retention, request.number);
    }
    else if (request.holds_claim)
    {
        this->pending_effects.push_back(
            report_release{request.number, request.claim});
    }
}

void entry_reducer::abandon_as_unknown(live_request& request,
                                       refusal_reason reason)
{
    if (request.holds_claim)
    {
        this->pending_effects.push_back(
            report_unknown{request.number, request.claim});
    }
    if (!request.caller_done)
    {
        request.outcome = request_outcome::unknown;
        request.reason = reason;
        this->pending_effects.push_back(
            answer_unknown{request.number, reason, {}});
        ++this->current_counters.refusals.at(static_cast<std::size_t>(reason));
        this->count_end(request, &service_counters::unknown);
    }
    this->finish(request);
}

void entry_reducer::finish(live_request& request)
{
    this->last_activity = this->now;
    request_number const number = request.number;
    if (request.life_cycle.current() == request_state::waiting)
    {
        this->state_of(request.service)
            .cancel(static_cast<std::uint64_t>(number), request.reachable);
    }
    this->timers.erase({request.timer, number});
    this->record_admission_outcome(request);
    this->report_end(request);
    this->live_requests.erase(number);
}

region_id
entry_reducer::region_name_of(std::optional<std::uint32_t> region) const
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

void entry_reducer::count_split_part(live_request const& request)
{
    if (!request.split.has_value())
    {
        return;
    }
    split_part part{request.split->route, request.service};
    std::map<split_part, split_part_counters>& parts =
        this->current_counters.split_parts;
    if (parts.size() >= max_split_parts && !parts.contains(part))
    {
        part.route.clear();
    }
    split_part_counters& counted = parts[part];
    ++(request.outcome == request_outcome::answered  ? counted.answered
       : request.outcome == request_outcome::not_run ? counted.not_run
                                                     : counted.other);
}

void entry_reducer::report_end(live_request const& request)
{
    this->count_split_part(request);
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
    end.customer = request.customer;
    end.tried = request.tried;
    end.relayed_to =
        request.relayed_to.empty() ? host_id() : request.relayed_to.back();
    end.is_relayed = request.is_relayed;
    end.placed_by = request.placed_by;
    end.region = this->region_name_of(request.region);
    end.expected_wait = request.expected_wait;
    end.run_factor = request.run_factor;
    end.usual_run = this->state_of(request.service).usual_run();
    end.admission = this->report_admission(request);
    end.took = this->now - request.arrived_at;
    end.time_to_head = request.time_to_head;
    this->pending_effects.push_back(std::move(end));
}

void entry_reducer::refuse_arrival(request_arrived const& event,
                                   refusal_reason reason)
{
    ++this->current_counters.refusals.at(static_cast<std::size_t>(reason));
    request_ended end;
    end.request = event.request;
    end.service = event.service;
    end.digest = event.digest;
    end.caller = event.caller;
    end.outcome =
        event.repeated ? request_outcome::unknown : request_outcome::not_run;
    end.reason = reason;
    this->pending_effects.push_back(std::move(end));
    if (event.repeated)
    {
        this->pending_effects.push_back(answer_unknown{
            event.request, reason, this->host_settings.retry_after});
        return;
    }
    // Another entry host may take the request at once.
    duration const retry_after = reason == refusal_reason::stopping
                                     ? duration::zero()
                                     : this->host_settings.retry_after;
    this->pending_effects.push_back(
        answer_not_run{event.request, reason, retry_after});
}

void entry_reducer::answer_with_problem(request_number number,
                                        service_id const& service,
                                        std::uint16_t status,
                                        refusal_reason reason,
                                        duration retry_after)
{
    ++this->current_counters.refusals.at(static_cast<std::size_t>(reason));
    if (!service.empty())
    {
        ++this->current_counters.services[service].problems;
    }
    this->pending_effects.push_back(
        answer_problem{number, status, reason, retry_after});
}

void entry_reducer::finish_with_problem(live_request& request,
                                        std::uint16_t status,
                                        refusal_reason reason,
                                        duration retry_after)
{
    request.outcome = request_outcome::problem;
    request.reason = reason;
    this->answer_with_problem(request.number, request.service, status, reason,
                              retry_after);
    this->finish(request);
}

void entry_reducer::count_end(live_request const& request,
                              std::uint64_t service_counters::* kind)
{
    service_counters& service =
        this->current_counters.services[request.service];
    ++(service.*kind);
    duration const took = this->now - request.arrived_at;
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
