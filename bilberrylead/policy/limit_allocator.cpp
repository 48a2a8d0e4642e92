#include "bilberrylead/policy/limit_allocator.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <set>
#include <utility>
#include <vector>

namespace bilberrylead::policy
{

namespace
{

/// Rates are given as requests in 1000 s.
constexpr double per_mille = 1000;
/// Shares are given in millionths.
constexpr double millionths = 1e6;
/// Requests a second below which a host receives no share.
constexpr double min_demand = 0.1;
/// An excess beyond what the limit allows in this time is forgotten.
constexpr double max_debt_seconds = 10;

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

limit_allocator::limit_allocator(customer_limit_settings const& settings)
    : settings(settings)
{
}

void limit_allocator::start(instant now)
{
    this->started_at = now;
    this->hosts.clear();
    this->customers.clear();
}

bool limit_allocator::is_silent(host_id const& host, instant now) const
{
    auto const found = this->hosts.find(host);
    return found == this->hosts.end() ||
           now - found->second.heard_at >= this->settings.silence;
}

double limit_allocator::demand(holding const& held, instant now) const
{
    return held.demand * std::exp(-seconds_of(now - held.demand_at) /
                                  seconds_of(this->settings.demand_time));
}

double limit_allocator::level(customer_state const& state, instant now) const
{
    double const filled =
        state.tokens + seconds_of(now - state.updated_at) * state.rate;
    return std::min(filled, std::max(state.burst, 1.0));
}

double limit_allocator::level(customer_id const& customer, instant now) const
{
    auto const found = this->customers.find(customer);
    return found == this->customers.end() ? 0 : this->level(found->second, now);
}

/// The newest configuration that any host has in force is binding.
void limit_allocator::set_limit(customer_state& state,
                                customer_usage const& usage,
                                revision configuration, instant now) const
{
    if (configuration < state.configuration)
    {
        return;
    }
    double const rate = static_cast<double>(usage.rate) / per_mille;
    double const burst = static_cast<double>(usage.burst);
    state.tokens = std::min(this->level(state, now), std::max(burst, 1.0));
    state.updated_at = now;
    state.configuration = configuration;
    state.rate = rate;
    state.burst = burst;
}

void limit_allocator::record(host_id const& host, std::uint64_t incarnation,
                             customer_report const& report, instant now)
{
    host_state& sender = this->hosts[host];
    bool const is_first = sender.report == 0;
    bool const same_process = sender.incarnation == incarnation;
    if (same_process && report.number <= sender.report)
    {
        return;
    }
    bool const has_restarted = !is_first && !same_process;
    sender = {incarnation, report.number, now};
    if (has_restarted)
    {
        // The process that held the shares is gone.
        for (auto& [customer, state] : this->customers)
        {
            state.holdings.erase(host);
        }
    }
    for (customer_usage const& usage : report.rows)
    {
        auto const [place, is_new] =
            this->customers.try_emplace(usage.customer);
        customer_state& state = place->second;
        if (is_new)
        {
            state.burst = static_cast<double>(usage.burst);
            state.tokens = state.burst;
            state.updated_at = now;
        }
        this->set_limit(state, usage, report.configuration, now);
        state.arrived += usage.arrived;
        state.accepted += usage.accepted;
        bool const had_reserve = this->has_reserve(state, now);
        state.tokens = std::max(state.tokens - usage.accepted,
                                -max_debt_seconds * state.rate);
        this->is_urgent =
            this->is_urgent || (had_reserve && !this->has_reserve(state, now));
        holding& held = state.holdings[host];
        held.demand = this->demand(held, now) +
                      usage.arrived / seconds_of(this->settings.demand_time);
        held.demand_at = now;
        held.arrived_at = usage.arrived > 0 ? now : held.arrived_at;
        if (is_first)
        {
            held.share = usage.share;
            held.expiry = now + this->settings.lease_time;
            state.inherited_shares += usage.share / millionths;
            // What hosts with shares have saved up is not known here.
            state.tokens -= state.burst * usage.share / millionths;
        }
    }
}

/// Part of the limit that the hosts that report may use together.
double limit_allocator::available_part(customer_state const& state,
                                       std::size_t known_hosts,
                                       instant now) const
{
    double part = 1;
    if (now - this->started_at < this->settings.lease_time)
    {
        // Hosts that have not reported to this leader may hold the rest.
        double const heard =
            static_cast<double>(this->hosts.size()) /
            static_cast<double>(std::max<std::size_t>(known_hosts, 1));
        part = std::min(std::max(state.inherited_shares, heard), 1.0);
    }
    for (auto const& [host, held] : state.holdings)
    {
        if (this->is_silent(host, now))
        {
            part -= std::max(held.share, held.previous_share) / millionths;
        }
    }
    double const saved = this->level(state, now);
    double const repayment =
        saved >= 0 || state.rate <= 0
            ? 1
            : std::max(1 + saved / state.rate,
                       this->settings.min_repayment_factor);
    return std::max(part, 0.0) * repayment;
}

double limit_allocator::total_demand(customer_state const& state,
                                     instant now) const
{
    double sum = 0;
    for (auto const& [host, held] : state.holdings)
    {
        sum += this->demand(held, now);
    }
    return sum;
}

bool limit_allocator::has_reserve(customer_state const& state,
                                  instant now) const
{
    return this->level(state, now) * 2 >= std::max(state.burst, 1.0);
}

std::uint32_t limit_allocator::starters(customer_state const& state,
                                        instant now) const
{
    if (!this->has_reserve(state, now) ||
        this->total_demand(state, now) > state.rate)
    {
        return 0;
    }
    std::uint32_t const starters = static_cast<std::uint32_t>(
        state.burst / this->settings.burst_per_starter);
    return std::clamp(starters, 1U, this->settings.max_starters);
}

/// Hosts that receive one starter each although the customer presses. It would
/// use starters of all its hosts at once, again and again; what its shares
/// leave unused goes to as many hosts as there are requests saved up beyond
/// half of the burst, first to those that received requests last.
std::set<host_id> limit_allocator::starting_hosts(customer_state const& state,
                                                  instant now) const
{
    double const saved = this->level(state, now) - state.burst / 2;
    std::set<host_id> chosen;
    if (saved < 1 || this->total_demand(state, now) <= state.rate)
    {
        return chosen;
    }
    std::vector<std::pair<instant, host_id>> recent;
    for (auto const& [host, held] : state.holdings)
    {
        if (!this->is_silent(host, now))
        {
            recent.emplace_back(held.arrived_at, host);
        }
    }
    std::sort(recent.begin(), recent.end(), std::greater<>());
    recent.resize(std::min(recent.size(), static_cast<std::size_t>(saved)));
    for (auto const& [arrived_at, host] : recent)
    {
        chosen.insert(host);
    }
    return chosen;
}

void limit_allocator::remove_expired(instant now)
{
    std::erase_if(this->hosts,
                  [this, now](std::pair<host_id const, host_state> const& row)
                  {
                      return now - row.second.heard_at >=
                             this->settings.lease_time;
                  });
    for (auto& [customer, state] : this->customers)
    {
        std::erase_if(state.holdings,
                      [this, now](std::pair<host_id const, holding> const& row)
                      {
                          return now >= row.second.expiry &&
                                 this->demand(row.second, now) < min_demand;
                      });
    }
    std::erase_if(
        this->customers,
        [this, now](std::pair<customer_id const, customer_state> const& row)
        {
            return row.second.holdings.empty() &&
                   this->level(row.second, now) >=
                       std::max(row.second.burst, 1.0);
        });
}

/// Demand from which on a host receives a share. A host that holds one may save
/// up a request, however small its share is; the number of holders is bounded
/// so that these add up to no more than the burst or what a short time allows.
double limit_allocator::min_shared_demand(customer_state const& state,
                                          instant now) const
{
    constexpr double holder_seconds = 0.5;
    std::size_t const max_holders =
        std::max({this->settings.min_share_holders,
                  static_cast<std::size_t>(state.burst),
                  static_cast<std::size_t>(state.rate * holder_seconds)});
    std::vector<double> demands;
    for (auto const& [host, held] : state.holdings)
    {
        if (!this->is_silent(host, now))
        {
            demands.push_back(this->demand(held, now));
        }
    }
    if (demands.size() <= max_holders)
    {
        return min_demand;
    }
    auto const last =
        demands.begin() + static_cast<std::ptrdiff_t>(max_holders - 1);
    std::nth_element(demands.begin(), last, demands.end(), std::greater<>());
    return std::max(*last, min_demand);
}

void limit_allocator::divide(customer_state& state, std::size_t known_hosts,
                             instant now)
{
    double const least = this->min_shared_demand(state, now);
    double sum = 0;
    for (auto const& [host, held] : state.holdings)
    {
        double const wanted = this->demand(held, now);
        sum += this->is_silent(host, now) || wanted < least ? 0 : wanted;
    }
    double const available = this->available_part(state, known_hosts, now);
    for (auto& [host, held] : state.holdings)
    {
        if (this->is_silent(host, now))
        {
            continue;
        }
        double const wanted = this->demand(held, now);
        held.previous_share = held.share;
        held.share = wanted < least
                         ? 0
                         : static_cast<std::uint32_t>(available * wanted / sum *
                                                      millionths);
        if (held.share > 0)
        {
            held.expiry = now + this->settings.lease_time;
        }
    }
}

std::vector<customer_limit_status>
limit_allocator::status(std::size_t max_customers, instant now) const
{
    std::vector<customer_limit_status> all;
    for (auto const& [customer, state] : this->customers)
    {
        customer_limit_status row{customer, state.rate, state.burst};
        row.saved = this->level(state, now);
        row.demand = this->total_demand(state, now);
        row.arrived = state.arrived;
        std::int64_t const refused =
            static_cast<std::int64_t>(state.arrived) - state.accepted;
        row.refused =
            static_cast<std::uint64_t>(std::max<std::int64_t>(refused, 0));
        for (auto const& [host, held] : state.holdings)
        {
            row.share_holders += held.share > 0 ? 1 : 0;
        }
        all.push_back(row);
    }
    std::sort(
        all.begin(), all.end(),
        [](customer_limit_status const& one, customer_limit_status const& other)
        {
            return one.demand * other.rate > other.demand * one.rate;
        });
    all.resize(std::min(all.size(), max_customers));
    return all;
}

bool limit_allocator::is_due(instant now) const
{
    duration const age = now - this->allocated_at;
    return age >= this->settings.report_interval ||
           (this->is_urgent && age >= this->settings.urgent_interval);
}

std::map<host_id, customer_allocation>
limit_allocator::allocate(std::size_t known_hosts, instant now)
{
    this->allocated_at = now;
    this->is_urgent = false;
    this->remove_expired(now);
    std::map<host_id, customer_allocation> allocations;
    for (auto const& [host, state] : this->hosts)
    {
        if (!this->is_silent(host, now))
        {
            allocations[host].report = state.report;
            allocations[host].default_starters = this->settings.max_starters;
        }
    }
    for (auto& [customer, state] : this->customers)
    {
        this->divide(state, known_hosts, now);
        std::uint32_t const common_starters = this->starters(state, now);
        std::set<host_id> const starting = this->starting_hosts(state, now);
        for (auto& [host, allocation] : allocations)
        {
            std::uint32_t const starters =
                starting.contains(host) ? 1 : common_starters;
            auto const held = state.holdings.find(host);
            std::uint32_t const share =
                held == state.holdings.end() ? 0 : held->second.share;
            if (share > 0 || starters != allocation.default_starters)
            {
                allocation.rows.push_back({customer, share, starters});
            }
        }
    }
    return allocations;
}

} // namespace bilberrylead::policy
