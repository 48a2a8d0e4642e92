#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace bilberrylead::entry
{

namespace
{

/// Statuses from here on count as failures of the upstream.
constexpr std::uint16_t first_failure_status = 500;
/// A run is assumed to take at least 1/3 of the time to the answer, however
/// long the expected wait and round trip were.
constexpr int min_run_divisor = 3;

refusal_reason reason_of(exchange_fault fault)
{
    switch (fault)
    {
    case exchange_fault::connect_failed:
        return refusal_reason::connect_failed;
    case exchange_fault::no_response:
        return refusal_reason::upstream_silent;
    case exchange_fault::connection_lost:
    case exchange_fault::bad_answer:
    case exchange_fault::withdrawn:
        break;
    }
    return refusal_reason::connection_lost;
}

} // namespace

void entry_reducer::record_failure(live_request const& request)
{
    this->state_of(request.service)
        .record_failure({request.tried.back(), request.incarnation}, this->now);
}

void entry_reducer::on(upstream_head_received const& event)
{
    live_request* request = this->find(event.request);
    if (request == nullptr ||
        request->life_cycle.current() != request_state::running)
    {
        return;
    }
    if (!request->relayed_to.empty())
    {
        this->on_relay_head(*request, event);
        return;
    }
    upstream_incarnation const upstream{request->tried.back(),
                                        request->incarnation};
    service_state& state = this->state_of(request->service);
    if (event.not_run)
    {
        this->pending_effects.push_back(cancel_upstream{request->number});
        if (!event.misdirected)
        {
            state.record_refusal(upstream, this->now);
        }
        this->release_slot(*request);
        this->retry_or_end(*request, refusal_reason::upstream_refused,
                           request->body_kept);
        return;
    }
    request->status = event.status;
    this->count_crossing(*request);
    request->time_to_head = this->now - request->sent_at;
    if (event.load.has_value())
    {
        state.record_load(upstream, *event.load, this->now);
    }
    if (event.status >= first_failure_status)
    {
        this->record_failure(*request);
        if (this->retry_failed_answer(*request))
        {
            return;
        }
    }
    else
    {
        state.record_answer(upstream, this->now - request->sent_at, this->now);
        this->record_run(*request);
    }
    if (request->guarded)
    {
        request->life_cycle.collect();
        this->pending_effects.push_back(collect_answer{request->number});
        return;
    }
    request->life_cycle.stream();
    this->timers.erase({request->timer, request->number});
    this->count_end(*request, &service_counters::done);
    this->pending_effects.push_back(stream_answer{request->number});
}

void entry_reducer::on(upstream_answer_finished const& event)
{
    live_request* request = this->find(event.request);
    if (request == nullptr)
    {
        return;
    }
    if (!request->relayed_to.empty())
    {
        this->release_slot(*request);
        this->finish(*request);
        return;
    }
    service_state& state = this->state_of(request->service);
    if (request->life_cycle.current() == request_state::streaming)
    {
        state.record_slot_time({request->tried.back(), request->incarnation},
                               this->now - request->sent_at);
        this->record_complete_answer(*request);
        this->release_slot(*request);
        this->finish(*request);
        return;
    }
    if (request->life_cycle.current() != request_state::collecting ||
        !event.collected.has_value())
    {
        return;
    }
    this->record_complete_answer(*request);
    state.record_slot_time({request->tried.back(), request->incarnation},
                           this->now - request->sent_at);
    this->release_slot(*request);
    this->pending_effects.push_back(
        report_completion{request->number, request->claim, *event.collected});
    if (request->caller_done)
    {
        this->finish(*request);
        return;
    }
    request->life_cycle.store();
    this->set_timer(*request,
                    std::min(request->deadline,
                             this->now + this->host_settings.record_timeout));
}

void entry_reducer::on(upstream_failed const& event)
{
    live_request* request = this->find(event.request);
    if (request == nullptr ||
        (request->life_cycle.current() != request_state::running &&
         request->life_cycle.current() != request_state::streaming &&
         request->life_cycle.current() != request_state::collecting))
    {
        return;
    }
    if (!request->relayed_to.empty())
    {
        this->on_relay_failure(*request, event);
        return;
    }
    if (event.fault == exchange_fault::withdrawn)
    {
        this->place_elsewhere(*request);
        return;
    }
    refusal_reason const reason = reason_of(event.fault);
    if (event.fault == exchange_fault::connection_lost &&
        event.phase != exchange_phase::not_sent)
    {
        this->record_loss(*request);
    }
    this->release_slot(*request);
    this->record_failure(*request);
    if (event.fault == exchange_fault::connect_failed)
    {
        config::upstream const* const upstream =
            this->find_upstream(request->tried.back());
        this->record_connection_failure(request->tried.back(),
                                        upstream == nullptr ? zone_id()
                                                            : upstream->zone);
    }
    if (request->life_cycle.current() == request_state::streaming)
    {
        // The caller's connection is closed with the answer, so the caller can
        // detect that the answer is incomplete.
        request->outcome = request_outcome::broken_off;
        request->reason = reason;
        this->finish(*request);
        return;
    }
    request->may_have_run =
        request->may_have_run || event.phase != exchange_phase::not_sent;
    this->retry_or_end(*request, reason,
                       request->body_kept ||
                           event.phase == exchange_phase::not_sent);
}

/// Selects another upstream for a request that was withdrawn from one before
/// anything was sent, which is no attempt.
void entry_reducer::place_elsewhere(live_request& request)
{
    assert(request.life_cycle.current() == request_state::running);
    ++this->current_counters.withdrawn;
    this->release_slot(request);
    request.tried.pop_back();
    request.life_cycle.pause();
    this->place(request);
}

void entry_reducer::retry_or_end(live_request& request, refusal_reason reason,
                                 bool body_usable)
{
    if (body_usable && this->find_relay_host(request) != nullptr)
    {
        request.life_cycle.pause();
        this->relay(request);
        return;
    }
    std::optional<duration> const pause =
        this->acquire_retry(request, body_usable);
    if (pause.has_value())
    {
        ++this->current_counters.services[request.service].retries;
        request.life_cycle.pause();
        this->set_timer(request, this->now + *pause);
        return;
    }
    if (request.may_have_run)
    {
        this->abandon_as_unknown(request, reason);
        return;
    }
    this->refuse(request, reason);
}

/// An upstream that fails its answers appears idle and would attract work.
/// Repeatable requests are retried on another upstream if the budget allows;
/// otherwise the caller receives the failed answer as it is.
bool entry_reducer::retry_failed_answer(live_request& request)
{
    if (!request.repeatable || this->is_last_attempt(request))
    {
        return false;
    }
    request.may_have_run = true;
    std::optional<duration> const pause =
        this->acquire_retry(request, request.body_kept);
    if (!pause.has_value())
    {
        return false;
    }
    ++this->current_counters.services[request.service].retries;
    this->pending_effects.push_back(cancel_upstream{request.number});
    this->release_slot(request);
    request.life_cycle.pause();
    this->set_timer(request, this->now + *pause);
    return true;
}

void entry_reducer::record_run(live_request const& request)
{
    service_state& state = this->state_of(request.service);
    duration const took = this->now - request.sent_at;
    duration const run =
        std::max(took - request.round_trip - request.expected_wait,
                 took / min_run_divisor);
    duration const usual(static_cast<std::int64_t>(
        static_cast<double>(run.count()) / request.run_factor));
    state.record_run({request.tried.back(), request.incarnation}, usual,
                     request.object, this->now);
}

std::optional<duration> entry_reducer::acquire_retry(live_request& request,
                                                     bool body_usable)
{
    // A request that must not be repeated is never sent again once a byte may
    // have reached an upstream, not even to find out whether it ran.
    service_state& state = this->state_of(request.service);
    policy::retry_request question;
    question.idempotent = request.repeatable;
    question.certainly_not_run = !request.may_have_run;
    question.attempts = static_cast<unsigned>(request.tried.size());
    question.deadline = request.deadline;
    question.run_time =
        this->host_settings.waiting == config::waiting_place::upstream
            ? state.usual_run()
            : state.usual_answer();
    bool const attempts_left = request.max_attempts == 0 ||
                               request.tried.size() < request.max_attempts;
    bool const may_run = !this->crash_refusal(request).has_value();
    if (!attempts_left || !may_run || !body_usable || request.caller_done ||
        !state.accepts_work(request.reachable, this->now))
    {
        return std::nullopt;
    }
    return state.budget.request_retry(question, this->now, state.random);
}

void entry_reducer::expire_run(live_request& request)
{
    if (request.caller_done)
    {
        return;
    }
    request.may_have_run = true;
    if (request.guarded && request.relayed_to.empty())
    {
        // The caller is answered at once that the outcome is unknown; the work
        // continues for its record until it stops making progress.
        request.caller_done = true;
        request.outcome = request_outcome::unknown;
        request.reason = refusal_reason::deadline;
        this->pending_effects.push_back(
            answer_unknown{request.number, refusal_reason::deadline, {}});
        this->count_end(request, &service_counters::unknown);
        ++this->current_counters.refusals.at(
            static_cast<std::size_t>(refusal_reason::deadline));
        return;
    }
    this->pending_effects.push_back(cancel_upstream{request.number});
    if (!request.relayed_to.empty())
    {
        this->release_slot(request);
        this->abandon_as_unknown(request, refusal_reason::deadline);
        return;
    }
    this->record_failure(request);
    this->release_slot(request);
    this->retry_or_end(request,
                       this->now < request.deadline
                           ? refusal_reason::upstream_silent
                           : refusal_reason::deadline,
                       request.body_kept);
}

} // namespace bilberrylead::entry
