#include "bilberrylead/entry/entry_reducer.hpp"

#include "bilberrylead/policy/retry_time.hpp"

#include <utility>

/// Limits that upstreams name for all entry hosts together.
namespace bilberrylead::entry
{

void entry_reducer::note_limit(live_request const& request,
                               upstream_head_received const& head)
{
    if (!head.limit_readable)
    {
        // A limit that cannot be read changes nothing.
        ++this->counted.unreadable_limits;
        return;
    }
    upstream_id const& upstream = request.tried.back();
    if (!head.misdirected && this->state_of(request.service)
                                 .note_limit(upstream, head.limit, this->now))
    {
        this->out.push_back(upstream_limit_changed{upstream, head.limit});
    }
}

void entry_reducer::on(limits_heard const& happened)
{
    for (policy::limit_report const& report : happened.reports)
    {
        for (auto& [service, state] : this->states)
        {
            if (state.has(report.upstream) &&
                state.hear_limit(happened.sender, report, this->now))
            {
                this->out.push_back(upstream_limit_changed{
                    report.upstream, report.per_second, true});
            }
        }
    }
}

void entry_reducer::report_limits()
{
    tell_limits news;
    for (auto& [service, state] : this->states)
    {
        for (policy::limit_report& report : state.take_limit_reports(this->now))
        {
            news.reports.push_back(std::move(report));
        }
    }
    if (!news.reports.empty())
    {
        this->out.push_back(std::move(news));
    }
}

/// No upstream may take the request now. Where some only wait for their next
/// token, its caller hears when that comes.
void entry_reducer::refuse_unplaced(live_request& request)
{
    service_state& state = this->state_of(request.service);
    std::optional<duration> const wait =
        state.limit_wait(request.reached, this->now);
    if (!wait.has_value())
    {
        this->refuse(request, refusal_reason::no_upstream);
        return;
    }
    this->refuse(
        request, refusal_reason::no_room,
        policy::retry_time(*wait, this->chosen.placement, state.random));
}

} // namespace bilberrylead::entry
