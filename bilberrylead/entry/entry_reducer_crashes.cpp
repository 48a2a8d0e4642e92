#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

/// Requests during whose runs upstreams end.
namespace bilberrylead::entry
{

namespace
{

/// Crash records that can be withdrawn.
constexpr std::size_t max_own_crashes = 1000;
/// Time for which upstreams must answer other hosts and accept no connection of
/// this one until it counts as partitioned from them. When all upstreams start
/// again after crashes, the others reach them sooner only by a few probes.
constexpr duration partition_confirmation = std::chrono::seconds(2);

} // namespace

/// Retry delay if the request must not run now because of its crash record;
/// empty if it may run.
std::optional<duration>
entry_reducer::crash_refusal(live_request const& request) const
{
    policy::crash_verdict const verdict =
        request.may_have_run
            ? this->crashes.verdict_of_retry(
                  request.digest, this->losses.unresolved_of(request.digest))
            : this->crashes.verdict_of(request.digest);
    switch (verdict)
    {
    case policy::crash_verdict::unrestricted:
        return std::nullopt;
    case policy::crash_verdict::refused:
        return this->host_settings.crash_retry_after;
    case policy::crash_verdict::restricted:
        break;
    }
    bool const runs_already = std::any_of(
        this->live_requests.begin(), this->live_requests.end(),
        [&request](auto const& each)
        {
            return each.first != request.number &&
                   each.second.digest == request.digest &&
                   each.second.life_cycle.current() == request_state::running;
        });
    return runs_already || request.may_have_run
               ? std::optional<duration>(this->host_settings.retry_after)
               : std::nullopt;
}

void entry_reducer::record_loss(live_request const& request)
{
    if (request.digest == 0 || this->contact.is_lost())
    {
        return;
    }
    upstream_id const& upstream = request.tried.back();
    policy::lost_request const lost{request.digest, request.sent_at};
    switch (this->losses.record_loss(upstream, lost, this->now))
    {
    case policy::connection_loss_action::probe:
        // An upstream that rests or leaves is left alone; the upstream list
        // shows whether it ended.
        if (!this->state_of(request.service).is_withheld(upstream, this->now))
        {
            this->pending_effects.push_back(
                probe_upstream{upstream, request.sent_to});
        }
        return;
    case policy::connection_loss_action::wait:
        return;
    case policy::connection_loss_action::upstream_ended:
        this->record_crash(lost, upstream);
        return;
    }
}

void entry_reducer::on(upstream_probed const& event)
{
    config::upstream const* const upstream =
        this->find_upstream(event.upstream);
    bool const was_lost = this->contact.is_lost();
    if (event.outcome == probe_outcome::accepted)
    {
        this->record_connection(event.upstream);
    }
    else if (upstream != nullptr)
    {
        this->record_connection_failure(event.upstream, upstream->zone);
    }
    if (was_lost)
    {
        // Every upstream looks as if it had ended.
        return;
    }
    switch (event.outcome)
    {
    case probe_outcome::accepted:
        if (this->losses.record_accepted(event.upstream, this->now))
        {
            this->pending_effects.push_back(
                connection_loss_resolved{event.upstream, false});
        }
        return;
    case probe_outcome::refused:
        this->record_upstream_end(event.upstream);
        return;
    case probe_outcome::no_response:
        // Either a network partition or an unresponsive upstream; the upstream
        // list shows whether it ended.
        return;
    }
}

/// Probes upstreams again whose listeners accepted a connection.
void entry_reducer::repeat_probes()
{
    for (upstream_id const& upstream : this->losses.take_due_probes(this->now))
    {
        for (auto const& [service, state] : this->service_states)
        {
            config::upstream const* const found = state.find_upstream(upstream);
            if (found != nullptr && !state.is_withheld(upstream, this->now))
            {
                this->pending_effects.push_back(
                    probe_upstream{upstream, found->address});
            }
        }
    }
}

/// An answer to a request that was sent after the loss comes from a process
/// that outlived it.
void entry_reducer::record_sign_of_life(upstream_signals_received const& event)
{
    live_request const* const request = this->find(event.request);
    if (request != nullptr &&
        this->losses.record_answer(event.upstream, request->sent_at))
    {
        this->pending_effects.push_back(
            connection_loss_resolved{event.upstream, false});
    }
}

/// Treats upstreams that are no longer listed as ended.
void entry_reducer::find_ended_upstreams()
{
    for (upstream_id const& upstream : this->losses.unresolved())
    {
        bool const is_listed = std::any_of(
            this->upstream_list->begin(), this->upstream_list->end(),
            [&upstream](discovery::listed_upstream const& each)
            {
                return each.upstream.id == upstream;
            });
        if (!is_listed)
        {
            this->record_upstream_end(upstream);
        }
    }
}

/// Treats upstreams that are listed as another incarnation as ended: what they
/// were running was lost with the one before.
void entry_reducer::find_restarted_upstreams()
{
    upstreams_restarted restarted;
    for (discovery::listed_upstream const& each : *this->upstream_list)
    {
        auto const state = this->service_states.find(each.upstream.service);
        if (state == this->service_states.end() ||
            !state->second.has_record(each.upstream.id) ||
            each.incarnation <=
                state->second.current_incarnation(each.upstream.id).number)
        {
            continue;
        }
        restarted.upstreams.push_back(each.upstream.id);
        this->record_upstream_end(each.upstream.id);
    }
    if (!restarted.upstreams.empty())
    {
        restarted.listing = this->listing_position;
        this->pending_effects.push_back(std::move(restarted));
    }
}

void entry_reducer::record_upstream_end(upstream_id const& upstream)
{
    std::vector<policy::lost_request> const requests =
        this->losses.record_ended(upstream, this->now);
    if (!requests.empty())
    {
        this->pending_effects.push_back(
            connection_loss_resolved{upstream, true});
    }
    for (policy::lost_request const& each : requests)
    {
        this->record_crash(each, upstream);
    }
}

void entry_reducer::record_crash(policy::lost_request const& request,
                                 upstream_id const& upstream)
{
    std::optional<policy::crash_record> const changed =
        this->crashes.record_crash(request.digest, upstream, request.sent,
                                   this->now);
    if (changed.has_value())
    {
        this->own_crashes.push_back(
            {upstream, request.digest,
             this->losses.lost_at(upstream).value_or(this->now), this->now});
        if (this->own_crashes.size() > max_own_crashes)
        {
            this->own_crashes.pop_front();
        }
        this->publish_crash_record(*changed);
        this->refuse_crashing(request.digest);
    }
}

/// Withdraws the crash records that this host made and that satisfy the
/// predicate: all hosts would hold innocent requests back.
template <class Predicate>
void entry_reducer::withdraw_crashes(Predicate is_disproved)
{
    for (own_crash const& each : this->own_crashes)
    {
        std::optional<policy::crash_record> const cleared =
            is_disproved(each) ? this->crashes.clear(each.digest, this->now)
                               : std::nullopt;
        if (cleared.has_value())
        {
            this->publish_crash_record(*cleared);
        }
    }
    std::erase_if(this->own_crashes, is_disproved);
}

/// An upstream that answers a later request on a connection from before the
/// loss had not ended: this host had lost its way to it. An answer on a later
/// connection may come from the next incarnation, which has the same id.
void entry_reducer::withdraw_disproved_crashes(
    upstream_signals_received const& event)
{
    live_request const* const request = this->find(event.request);
    if (request == nullptr)
    {
        return;
    }
    this->withdraw_crashes(
        [&event, sent = request->sent_at](own_crash const& each)
        {
            return each.upstream == event.upstream &&
                   event.connected_at < each.lost_at && each.recorded_at < sent;
        });
}

/// This host alone reaches no upstream, so the upstreams that it has taken for
/// ended since it last reached one had not.
void entry_reducer::withdraw_crashes_of_cut()
{
    if (!this->contact.is_lost() ||
        !this->only_others_reach_since.has_value() ||
        this->now < *this->only_others_reach_since + partition_confirmation)
    {
        return;
    }
    this->withdraw_crashes(
        [since = this->last_connection_at](own_crash const& each)
        {
            return each.lost_at >= since;
        });
}

void entry_reducer::record_complete_answer(live_request const& request)
{
    std::optional<policy::crash_record> const cleared =
        this->crashes.clear(request.digest, this->now);
    if (cleared.has_value())
    {
        this->publish_crash_record(*cleared);
    }
}

void entry_reducer::publish_crash_record(policy::crash_record const& record)
{
    this->pending_effects.push_back(crash_record_changed{
        record, this->crashes.verdict_of(record.digest), false});
    this->changed_crashes.add({record});
    this->send_changed_crashes();
}

void entry_reducer::send_changed_crashes()
{
    std::vector<policy::crash_record> changed =
        this->changed_crashes.take_due(this->now);
    if (!changed.empty())
    {
        this->pending_effects.push_back(send_crash_records{std::move(changed)});
    }
}

void entry_reducer::on(crash_records_received const& event)
{
    policy::crash_merge merged = this->crashes.merge(event.records, this->now);
    for (policy::crash_record const& each : merged.changed)
    {
        policy::crash_verdict const verdict =
            this->crashes.verdict_of(each.digest);
        if (verdict != policy::crash_verdict::unrestricted)
        {
            this->pending_effects.push_back(
                crash_record_changed{each, verdict, true});
        }
        this->refuse_crashing(each.digest);
    }
    if (!merged.missing_at_sender.empty())
    {
        this->pending_effects.push_back(send_crash_records{
            std::move(merged.missing_at_sender), event.from});
    }
}

/// Refuses requests that wait for a slot or for their next attempt.
void entry_reducer::refuse_crashing(std::uint64_t digest)
{
    if (this->crashes.verdict_of(digest) != policy::crash_verdict::refused)
    {
        return;
    }
    std::vector<request_number> waiting;
    for (auto const& [number, request] : this->live_requests)
    {
        request_state const state = request.life_cycle.current();
        if (request.digest == digest && (state == request_state::waiting ||
                                         state == request_state::pausing))
        {
            waiting.push_back(number);
        }
    }
    for (request_number const number : waiting)
    {
        this->refuse(*this->find(number), refusal_reason::crashes_upstreams,
                     this->host_settings.crash_retry_after);
    }
}

} // namespace bilberrylead::entry
