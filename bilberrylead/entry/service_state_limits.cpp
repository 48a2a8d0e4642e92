#include "bilberrylead/entry/service_state.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

/// Rate limits that upstreams set for all entry hosts together.
namespace bilberrylead::entry
{

namespace
{

/// Interval at which an unchanged limit is confirmed to the other entry hosts.
constexpr duration limit_report_interval = std::chrono::seconds(2);

} // namespace

bool service_state::record_limit(upstream_incarnation const& from,
                                 std::optional<double> limit, instant now)
{
    upstream_record& record = this->record_of(from);
    this->set_limit_hosts(record, now);
    bool const changed = record.limit.observe(limit, now);
    bool const is_old =
        now - record.sent_limit_seen_at >= limit_report_interval;
    if (changed || (limit.has_value() && is_old))
    {
        this->unsent_limits.insert(from.id);
    }
    return changed;
}

bool service_state::receive_limit(host_id const& sender,
                                  policy::limit_report const& report,
                                  instant now)
{
    upstream_record& record = this->record_of(report.upstream);
    instant const seen = now - std::max(report.age, duration::zero());
    this->set_limit_hosts(record, now);
    bool const changed = record.limit.observe(report.per_second, seen);
    record.limit.record_peer_sent(sender, report.sent, now, this->limit_random);
    return changed;
}

void service_state::set_peers(std::uint64_t hosts, bool is_in_contact,
                              instant now)
{
    if (hosts == this->entry_hosts && is_in_contact == this->has_peer_contact)
    {
        return;
    }
    this->entry_hosts = hosts;
    this->has_peer_contact = is_in_contact;
    for (auto& [id, record] : this->records)
    {
        this->set_limit_hosts(record, now);
    }
}

void service_state::set_limit_hosts(upstream_record& record, instant now)
{
    record.limit.set_hosts(this->entry_hosts, this->has_peer_contact, now,
                           this->limit_random);
}

std::vector<policy::limit_report> service_state::pop_limit_reports(instant now)
{
    std::vector<policy::limit_report> reports;
    for (upstream_id const& id : std::exchange(this->unsent_limits, {}))
    {
        upstream_record& record = this->record_of(id);
        policy::shared_limit const& limit = record.limit;
        record.sent_limit_seen_at = limit.seen();
        reports.push_back(
            {id, limit.per_second(), now - limit.seen(), limit.sent()});
    }
    return reports;
}

std::optional<duration>
service_state::time_to_next_token(reach const& reachable, instant now) const
{
    std::optional<duration> shortest;
    for (std::size_t index = 0; index < this->configured_upstreams.size();
         ++index)
    {
        policy::shared_limit const& limit =
            this->upstream_records[index]->limit;
        if (this->is_reachable(reachable, index) && this->is_open(index, now) &&
            !limit.has_token(now))
        {
            duration const wait = limit.until_token(now);
            shortest = std::min(shortest.value_or(wait), wait);
        }
    }
    return shortest;
}

} // namespace bilberrylead::entry
