#include "bilberrylead/entry/entry_reducer.hpp"

/// What upstreams state about themselves with their answers.
namespace bilberrylead::entry
{

void entry_reducer::on(upstream_signals_received const& event)
{
    if (event.misdirected)
    {
        this->record_leaving(event);
        return;
    }
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
    this->state_of(event.service)
        .record_leaving(event.upstream,
                        this->now + this->host_settings.leaving_retention);
    this->pending_effects.push_back(upstream_leaving_noticed{
        event.upstream, event.request, event.misdirected});
}

void entry_reducer::record_rest(upstream_signals_received const& event)
{
    ++(event.rest_readable ? this->current_counters.rests
                           : this->current_counters.unreadable_rests);
    this->pending_effects.push_back(
        upstream_rest_requested{event.upstream, event.request, event.rest});
}

} // namespace bilberrylead::entry
