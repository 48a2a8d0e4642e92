#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace bilberrylead::entry
{

namespace
{

/// Statuses from here on say that the upstream failed.
constexpr std::uint16_t first_failure_status = 500;
/// A run takes at least this part of the time to the answer, whatever wait
/// and way were expected.
constexpr int least_run_share = 3;

refusal_reason reason_of(exchange_fault fault)
{
    switch (fault)
    {
    case exchange_fault::connect_failed:
        return refusal_reason::connect_failed;
    case exchange_fault::silent:
        return refusal_reason::upstream_silent;
    case exchange_fault::connection_lost:
    case exchange_fault::bad_answer:
        break;
    }
    return refusal_reason::connection_lost;
}

} // namespace

void entry_reducer::note_failure(live_request const& request)
{
    this->state_of(request.service)
        .note_failure(request.tried.back(), this->now);
}

void entry_reducer::on(upstream_head_received const& happened)
{
    live_request* request = this->find(happened.request);
    if (request == nullptr || request->life.current() != request_state::running)
    {
        return;
    }
    upstream_id const upstream = request->tried.back();
    service_state& state = this->state_of(request->service);
    if (happened.leaving || happened.misdirected)
    {
        state.note_leaving(upstream, this->now + this->chosen.leaving_memory);
    }
    this->note_limit(*request, happened);
    if (happened.not_run)
    {
        this->out.push_back(cancel_upstream{request->number});
        if (!happened.misdirected)
        {
            state.note_refusal(upstream, this->now);
        }
        this->free_slot(*request);
        this->try_again(*request, refusal_reason::upstream_refused,
                        request->body_kept);
        return;
    }
    request->status = happened.status;
    request->answered_after = this->now - request->sent;
    if (happened.load.has_value())
    {
        state.note_load(upstream, *happened.load, this->now);
    }
    if (happened.status >= first_failure_status)
    {
        this->note_failure(*request);
        if (this->retry_failed_answer(*request))
        {
            return;
        }
    }
    else
    {
        state.note_answer(upstream, this->now - request->sent, this->now);
        this->note_run(*request);
    }
    if (request->guarded)
    {
        request->life.collect();
        this->out.push_back(collect_answer{request->number});
        return;
    }
    request->life.pass();
    this->wakes.erase({request->wake, request->number});
    this->count_end(*request, &service_counters::done);
    this->out.push_back(pass_answer_on{request->number});
}

void entry_reducer::on(upstream_answer_finished const& happened)
{
    live_request* request = this->find(happened.request);
    if (request == nullptr)
    {
        return;
    }
    service_state& state = this->state_of(request->service);
    if (request->life.current() == request_state::passing)
    {
        state.note_held(request->tried.back(), this->now - request->sent);
        this->note_whole_answer(*request);
        this->free_slot(*request);
        this->finish(*request);
        return;
    }
    if (request->life.current() != request_state::collecting ||
        !happened.collected.has_value())
    {
        return;
    }
    this->note_whole_answer(*request);
    state.note_held(request->tried.back(), this->now - request->sent);
    this->free_slot(*request);
    this->out.push_back(report_completion{request->number, request->claim,
                                          *happened.collected});
    if (request->answered)
    {
        this->finish(*request);
        return;
    }
    request->life.store();
    this->set_wake(*request, std::min(request->deadline,
                                      this->now + this->chosen.record_wait));
}

void entry_reducer::on(upstream_failed const& happened)
{
    live_request* request = this->find(happened.request);
    if (request == nullptr ||
        (request->life.current() != request_state::running &&
         request->life.current() != request_state::passing &&
         request->life.current() != request_state::collecting))
    {
        return;
    }
    refusal_reason const reason = reason_of(happened.fault);
    if (happened.fault == exchange_fault::connection_lost &&
        happened.phase != exchange_phase::not_sent)
    {
        this->note_loss(*request);
    }
    this->free_slot(*request);
    this->note_failure(*request);
    if (request->life.current() == request_state::passing)
    {
        // The caller's connection breaks with the answer: it can see that
        // the answer is not whole.
        request->outcome = request_outcome::broken_off;
        request->reason = reason;
        this->finish(*request);
        return;
    }
    request->maybe_ran =
        request->maybe_ran || happened.phase != exchange_phase::not_sent;
    this->try_again(*request, reason,
                    request->body_kept ||
                        happened.phase == exchange_phase::not_sent);
}

void entry_reducer::try_again(live_request& request, refusal_reason reason,
                              bool body_usable)
{
    std::optional<duration> const pause =
        this->ask_for_try(request, body_usable);
    if (pause.has_value())
    {
        ++this->counted.services[request.service].retries;
        request.life.pause();
        this->set_wake(request, this->now + *pause);
        return;
    }
    if (request.maybe_ran)
    {
        this->give_up_unknown(request, reason);
        return;
    }
    this->refuse(request, reason);
}

/// An upstream that fails its answers looks idle and draws work to itself.
/// What may be repeated is tried elsewhere, if the budget allows; else its
/// caller gets the failure as it is.
bool entry_reducer::retry_failed_answer(live_request& request)
{
    if (!request.repeatable || this->is_last_try(request))
    {
        return false;
    }
    request.maybe_ran = true;
    std::optional<duration> const pause =
        this->ask_for_try(request, request.body_kept);
    if (!pause.has_value())
    {
        return false;
    }
    ++this->counted.services[request.service].retries;
    this->out.push_back(cancel_upstream{request.number});
    this->free_slot(request);
    request.life.pause();
    this->set_wake(request, this->now + *pause);
    return true;
}

void entry_reducer::note_run(live_request const& request)
{
    service_state& state = this->state_of(request.service);
    duration const took = this->now - request.sent;
    duration const run =
        std::max(took - request.round_trip - request.expected_wait,
                 took / least_run_share);
    duration const usual(static_cast<std::int64_t>(
        static_cast<double>(run.count()) / request.run_factor));
    state.note_run(request.tried.back(), usual, request.object, this->now);
}

std::optional<duration> entry_reducer::ask_for_try(live_request& request,
                                                   bool body_usable)
{
    // A request that may not be repeated is never sent again once a byte
    // may have reached an upstream; not even to "make sure".
    service_state& state = this->state_of(request.service);
    policy::retry_request question;
    question.idempotent = request.repeatable;
    question.certainly_not_run = !request.maybe_ran;
    question.attempts = static_cast<unsigned>(request.tried.size());
    question.deadline = request.deadline;
    question.run_time = this->chosen.waiting == config::waiting_place::upstream
                            ? state.usual_run()
                            : state.usual_answer();
    bool const tries_left = request.most_attempts == 0 ||
                            request.tried.size() < request.most_attempts;
    bool const may_run = !this->crash_refusal(request).has_value();
    if (!tries_left || !may_run || !body_usable || request.answered ||
        !state.takes_work(request.reached, this->now))
    {
        return std::nullopt;
    }
    return state.budget.request_retry(question, this->now, state.random);
}

void entry_reducer::expire_run(live_request& request)
{
    if (request.answered)
    {
        return;
    }
    request.maybe_ran = true;
    if (request.guarded)
    {
        // The caller hears at once that the outcome is unknown; the work
        // goes on for its record until it falls silent.
        request.answered = true;
        request.outcome = request_outcome::unknown;
        request.reason = refusal_reason::deadline;
        this->out.push_back(
            answer_unknown{request.number, refusal_reason::deadline, {}});
        this->count_end(request, &service_counters::unknown);
        ++this->counted.refusals.at(
            static_cast<std::size_t>(refusal_reason::deadline));
        return;
    }
    this->out.push_back(cancel_upstream{request.number});
    this->note_failure(request);
    this->free_slot(request);
    this->try_again(request,
                    this->now < request.deadline
                        ? refusal_reason::upstream_silent
                        : refusal_reason::deadline,
                    request.body_kept);
}

} // namespace bilberrylead::entry
