#include "bilberrylead/entry/entry_reducer.hpp"

#include "bilberrylead/policy/retry_time.hpp"

#include <cstdint>
#include <utility>

/// Rate limits that upstreams set for all entry hosts together.
namespace bilberrylead::entry
{

void entry_reducer::record_limit(upstream_signals_received const& event)
{
    if (!event.limit_readable)
    {
        // A limit that cannot be parsed is ignored.
        ++this->current_counters.unreadable_limits;
        return;
    }
    if (this->state_of(event.service)
            .record_limit({event.upstream, event.incarnation}, event.limit,
                          this->now))
    {
        this->pending_effects.push_back(
            upstream_limit_changed{event.upstream, event.limit});
    }
}

void entry_reducer::on(limits_received const& event)
{
    for (policy::limit_report const& report : event.reports)
    {
        for (auto& [service, state] : this->service_states)
        {
            if (state.has_record(report.upstream) &&
                state.receive_limit(event.sender, report, this->now))
            {
                this->pending_effects.push_back(upstream_limit_changed{
                    report.upstream, report.per_second, true});
            }
        }
    }
}

void entry_reducer::on(peer_contact_changed const& event)
{
    this->has_peer_contact = event.is_in_contact;
    this->update_limit_peers();
}

void entry_reducer::update_limit_peers()
{
    for (auto& [service, state] : this->service_states)
    {
        state.set_peers(this->entry_hosts.hosts, this->has_peer_contact,
                        this->now);
    }
}

void entry_reducer::report_limits()
{
    send_limits message;
    for (auto& [service, state] : this->service_states)
    {
        for (policy::limit_report& report : state.pop_limit_reports(this->now))
        {
            message.reports.push_back(std::move(report));
        }
    }
    if (!message.reports.empty())
    {
        this->pending_effects.push_back(std::move(message));
    }
}

/// Refuses a request that no upstream can accept now. If some upstreams only
/// rest or wait for their next token, the retry delay covers that time.
void entry_reducer::refuse_unplaced(live_request& request)
{
    service_state& state = this->state_of(request.service);
    std::optional<duration> const token =
        state.time_to_next_token(request.reachable, this->now);
    std::optional<duration> const rest =
        state.time_to_end_of_rest(request.reachable, this->now);
    if (rest.has_value() && (!token.has_value() || *rest <= *token))
    {
        this->refuse(request, refusal_reason::upstreams_resting,
                     policy::retry_time_after_rest(
                         *rest, this->host_settings.placement, state.random));
        return;
    }
    if (!token.has_value())
    {
        this->refuse(request, refusal_reason::no_upstream);
        return;
    }
    this->refuse(request, refusal_reason::no_room,
                 policy::retry_time(*token, this->host_settings.placement,
                                    state.random));
}

} // namespace bilberrylead::entry
