#include "bilberrylead/policy/customer_limits.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <functional>
#include <string>

namespace bilberrylead::policy
{

namespace
{

/// Reports whose answers may still arrive; older answers have expired.
constexpr std::size_t max_sent_reports = 64;

} // namespace

customer_limits::customer_limits(host_id const& self,
                                 customer_limit_settings const& settings)
    : self(self), settings(settings)
{
}

/// The same in every incarnation of the host, so that restarts give no host
/// more than its part of the reserve.
double customer_limits::draw_of(customer_id const& customer) const
{
    std::hash<std::string> const hash;
    return generator(hash(customer.text()) ^
                     generator(hash(this->self.text())).next())
        .unit();
}

void customer_limits::begin_configuration(revision number)
{
    this->configuration = number;
}

void customer_limits::set_limit(customer_id const& customer, std::uint64_t rate,
                                std::uint64_t burst, instant now)
{
    auto const [place, is_new] = this->limits.try_emplace(
        customer, entry{customer_limit(this->settings)});
    place->second.configured_by = this->configuration;
    place->second.limit.configure(rate, burst, now);
    if (is_new)
    {
        place->second.limit.set_hosts(this->hosts, this->draw_of(customer),
                                      now);
    }
}

void customer_limits::end_configuration()
{
    std::erase_if(this->limits,
                  [this](std::pair<customer_id const, entry> const& row)
                  {
                      return row.second.configured_by != this->configuration;
                  });
}

void customer_limits::set_hosts(std::size_t count, instant now)
{
    if (count == this->hosts)
    {
        return;
    }
    this->hosts = count;
    for (auto& [customer, each] : this->limits)
    {
        each.limit.set_hosts(count, this->draw_of(customer), now);
    }
}

bool customer_limits::accept(customer_id const& customer, instant now)
{
    auto const found = this->limits.find(customer);
    return found == this->limits.end() || found->second.limit.accept(now);
}

void customer_limits::give_back(customer_id const& customer, instant now)
{
    auto const found = this->limits.find(customer);
    if (found != this->limits.end())
    {
        found->second.limit.give_back(now);
    }
}

duration customer_limits::until_token(customer_id const& customer,
                                      instant now) const
{
    auto const found = this->limits.find(customer);
    return found == this->limits.end() ? duration::zero()
                                       : found->second.limit.until_token(now);
}

std::uint32_t customer_limits::share(customer_id const& customer,
                                     instant now) const
{
    auto const found = this->limits.find(customer);
    return found == this->limits.end() ? 0 : found->second.limit.share(now);
}

std::optional<duration> customer_limits::allocation_age(instant now) const
{
    return this->answered_sent_at.has_value()
               ? std::optional<duration>(now - *this->answered_sent_at)
               : std::nullopt;
}

duration customer_limits::current_interval(instant now) const
{
    duration interval = this->settings.idle_report_interval;
    for (auto const& [customer, each] : this->limits)
    {
        if (each.limit.has_used_starters())
        {
            return this->settings.urgent_interval;
        }
        if (each.limit.needs_report(now))
        {
            interval = this->settings.report_interval;
        }
    }
    return interval;
}

void customer_limits::request_report()
{
    this->reported_at = {};
}

std::optional<customer_report> customer_limits::pop_report(instant now)
{
    if (this->limits.empty() ||
        now - this->reported_at < this->current_interval(now))
    {
        return std::nullopt;
    }
    this->reported_at = now;
    customer_report report;
    report.number = ++this->report_number;
    report.configuration = this->configuration;
    for (auto& [customer, each] : this->limits)
    {
        if (each.limit.needs_report(now))
        {
            report.rows.push_back(each.limit.pop_usage(now));
            report.rows.back().customer = customer;
        }
    }
    this->sent_reports.emplace_back(report.number, now);
    if (this->sent_reports.size() > max_sent_reports)
    {
        this->sent_reports.pop_front();
    }
    return report;
}

void customer_limits::apply(customer_allocation const& allocation, instant now)
{
    auto const sent = std::find_if(
        this->sent_reports.begin(), this->sent_reports.end(),
        [&allocation](std::pair<std::uint64_t, instant> const& report)
        {
            return report.first == allocation.report;
        });
    if (sent == this->sent_reports.end() ||
        allocation.report < this->answered_number)
    {
        return;
    }
    this->answered_number = allocation.report;
    this->answered_sent_at = sent->second;
    instant const expiry = sent->second + this->settings.lease_time;
    instant const starter_expiry = sent->second + this->settings.starter_time;
    std::map<customer_id, customer_share const*> listed;
    for (customer_share const& row : allocation.rows)
    {
        listed[row.customer] = &row;
    }
    for (auto& [customer, each] : this->limits)
    {
        auto const row = listed.find(customer);
        bool const is_listed = row != listed.end();
        each.limit.allocate(is_listed ? row->second->share : 0,
                            is_listed ? row->second->starters
                                      : allocation.default_starters,
                            expiry, starter_expiry, now);
    }
}

} // namespace bilberrylead::policy
