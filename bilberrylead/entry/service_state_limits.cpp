#include "bilberrylead/entry/service_state.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

/// Limits that upstreams name for all entry hosts together.
namespace bilberrylead::entry
{

namespace
{

/// How often the other entry hosts hear that a limit goes on.
constexpr duration confirmation_interval = std::chrono::seconds(2);

} // namespace

bool service_state::note_limit(upstream_id const& id,
                               std::optional<double> limit, instant now)
{
    upstream_record& known = this->record(id);
    bool const changed = known.limit.observe(limit, now);
    bool const is_old = now - known.limit_told >= confirmation_interval;
    if (changed || (limit.has_value() && is_old))
    {
        this->untold_limits.insert(id);
    }
    return changed;
}

bool service_state::hear_limit(host_id const& sender,
                               policy::limit_report const& report, instant now)
{
    policy::shared_limit& known = this->record(report.upstream).limit;
    duration const age = std::max(report.age, duration::zero());
    bool const changed = known.observe(report.per_second, now - age);
    known.record_peer_sent(sender, report.sent, now, this->random);
    return changed;
}

std::vector<policy::limit_report> service_state::take_limit_reports(instant now)
{
    std::vector<policy::limit_report> reports;
    for (upstream_id const& id : std::exchange(this->untold_limits, {}))
    {
        upstream_record& record = this->record(id);
        policy::shared_limit const& known = record.limit;
        record.limit_told = known.seen();
        reports.push_back(
            {id, known.per_second(), now - known.seen(), known.sent()});
    }
    return reports;
}

std::optional<duration> service_state::limit_wait(reach const& reached,
                                                  instant now) const
{
    std::optional<duration> shortest;
    for (std::size_t place = 0; place < this->configured.size(); ++place)
    {
        policy::shared_limit const& limit =
            this->configured_records[place]->limit;
        if (this->reaches(reached, place) && this->open(place, now) &&
            !limit.has_token(now))
        {
            duration const wait = limit.until_token(now);
            shortest = std::min(shortest.value_or(wait), wait);
        }
    }
    return shortest;
}

} // namespace bilberrylead::entry
