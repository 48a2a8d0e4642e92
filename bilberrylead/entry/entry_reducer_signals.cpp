#include "bilberrylead/entry/entry_reducer.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// What upstreams state about themselves with their answers.
namespace bilberrylead::entry
{

void entry_reducer::on(upstream_signals_received const& event)
{
    if (!this->state_of(event.service)
             .is_current({event.upstream, event.incarnation}))
    {
        // The next incarnation has said nothing of the kind.
        return;
    }
    if (event.misdirected)
    {
        this->record_leaving(event);
        this->record_upstream_end(event.upstream);
        return;
    }
    this->record_sign_of_life(event);
    this->withdraw_disproved_crashes(event);
    this->record_limit(event);
    if (event.leaving)
    {
        this->record_leaving(event);
    }
    if (event.rest.has_value() || !event.rest_readable)
    {
        this->record_rest(event);
    }
}

void entry_reducer::record_leaving(upstream_signals_received const& event)
{
    // An incarnation leaves for good, and the list shows the next one. Nothing
    // shows the next one of a configured upstream.
    instant const until =
        this->host_settings.upstreams_are_listed
            ? instant::max()
            : this->now + this->host_settings.leaving_retention;
    service_state& state = this->state_of(event.service);
    bool const is_new = state.record_leaving(
        {event.upstream, event.incarnation}, until, this->now);
    if (!is_new)
    {
        return;
    }
    this->pending_effects.push_back(upstream_leaving_noticed{
        event.upstream, event.request, event.misdirected});
    config::upstream const* const upstream =
        state.find_upstream(event.upstream);
    // With a misdirected request the connections are those of another upstream.
    if (upstream != nullptr && !event.misdirected)
    {
        this->pending_effects.push_back(
            close_idle_connections{upstream->address});
    }
    this->place_stranded(event.service);
}

void entry_reducer::record_rest(upstream_signals_received const& event)
{
    if (!event.rest_readable)
    {
        ++this->current_counters.unreadable_rests;
        this->pending_effects.push_back(upstream_rest_requested{
            event.upstream, event.request, std::nullopt, {}});
        return;
    }
    service_state& state = this->state_of(event.service);
    if (!state.record_rest({event.upstream, event.incarnation}, *event.rest,
                           this->now))
    {
        return;
    }
    ++this->current_counters.rests;
    this->pending_effects.push_back(upstream_rest_requested{
        event.upstream, event.request, event.rest,
        state.rest_remaining(event.upstream, this->now)});
    this->place_stranded(event.service);
}

/// Decides again on the waiting requests that no upstream accepts any more, so
/// that they are refused now rather than at their deadlines.
void entry_reducer::place_stranded(service_id const& service)
{
    this->place_again(this->state_of(service).remove_stranded(this->now));
}

} // namespace bilberrylead::entry
