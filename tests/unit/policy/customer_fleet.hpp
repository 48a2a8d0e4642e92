#ifndef BILBERRYLEAD_TESTS_UNIT_POLICY_CUSTOMER_FLEET_HPP
#define BILBERRYLEAD_TESTS_UNIT_POLICY_CUSTOMER_FLEET_HPP

#include "bilberrylead/policy/customer_limits.hpp"
#include "bilberrylead/policy/limit_allocator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::policy
{

using namespace std::chrono_literals;

/// How a `customer_fleet` divides a limit.
enum class division
{
    /// Each host enforces rate and burst divided by the number of hosts.
    fixed_shares,
    /// Shares follow demand, as leases.
    leases,
    /// Each host enforces the whole limit: what happens without division.
    none,
};

/// Settings of a `customer_fleet`.
struct customer_fleet_settings
{
    std::size_t hosts = 73;
    division how = division::leases;
    /// Requests a second that all hosts together may accept.
    std::uint64_t rate = 20;
    std::uint64_t burst = 20;
    /// Requests a second of the customer's callers.
    double demand = 10;
    /// Callers, each of which uses one host at a time.
    std::size_t callers = 5;
    /// Mean time after which a caller moves to another host.
    duration stay = 2s;
    /// Largest delay of a message, and the share of messages that are lost or
    /// delivered twice.
    duration max_delay = 100ms;
    double lost = 0;
    double doubled = 0;
    std::uint64_t seed = 1;
};

/// One customer whose callers send to entry hosts, and the host that divides
/// its limit. Messages may be lost, doubled and reordered.
class customer_fleet
{
public:
    explicit customer_fleet(customer_fleet_settings const& given)
        : settings(given), random(given.seed), rate(given.rate),
          burst(given.burst), demand(given.demand), cut(given.hosts)
    {
        for (std::size_t host = 0; host < given.hosts; ++host)
        {
            this->hosts.push_back(nullptr);
            this->incarnations.push_back(0);
            this->start_host(host);
        }
        for (std::size_t caller = 0; caller < given.callers; ++caller)
        {
            this->host_of_caller.push_back(this->pick(given.hosts));
        }
        this->allocator.start(this->now);
        // Hosts run for a while before the first request.
        double const demand_later = std::exchange(this->demand, 0);
        this->run_for(20s);
        this->demand = demand_later;
    }

    void start_host(std::size_t host)
    {
        this->hosts[host] =
            std::make_unique<customer_limits>(this->name_of(host));
        ++this->incarnations[host];
        this->configure(host);
    }

    void set_limit(std::uint64_t new_rate, std::uint64_t new_burst)
    {
        this->rate = new_rate;
        this->burst = new_burst;
        ++this->configuration;
        for (std::size_t host = 0; host < this->hosts.size(); ++host)
        {
            this->configure(host);
        }
    }

    void set_demand(double per_second)
    {
        this->demand = per_second;
    }

    void cut_off(std::size_t host, bool is_cut)
    {
        this->cut[host] = is_cut;
    }

    /// A new leader without the state of the old one takes over after a while.
    void replace_leader(duration pause)
    {
        this->leader_back_at = this->now + pause;
    }

    void run_for(duration time)
    {
        instant const end = this->now + time;
        while (this->now < end)
        {
            this->now += step;
            this->deliver();
            this->lead();
            this->send_requests();
            for (std::size_t host = 0; host < this->hosts.size(); ++host)
            {
                this->report(host);
            }
        }
    }

    /// Largest number of accepted requests within any window.
    std::size_t max_accepted_in(duration window) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->accepted_at.size(); ++last)
        {
            while (this->accepted_at[last] - this->accepted_at[first] >= window)
            {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    void forget_counts()
    {
        this->accepted_at.clear();
        this->arrived = 0;
    }

    double refused_share() const
    {
        return this->arrived == 0
                   ? 0
                   : 1 - static_cast<double>(this->accepted_at.size()) /
                             static_cast<double>(this->arrived);
    }

    std::size_t accepted() const
    {
        return this->accepted_at.size();
    }

private:
    static constexpr duration step = 10ms;

    void configure(std::size_t host)
    {
        customer_limits& limits = *this->hosts[host];
        std::uint64_t const divisor =
            this->settings.how == division::fixed_shares ? this->hosts.size()
                                                         : 1;
        limits.begin_configuration(this->configuration);
        limits.set_limit(this->customer, this->rate * 1000 / divisor,
                         this->burst / divisor, this->now);
        limits.end_configuration();
        limits.set_hosts(this->settings.hosts, this->now);
    }

    std::size_t pick(std::size_t count)
    {
        return static_cast<std::size_t>(this->random() % count);
    }

    double unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    void send_requests()
    {
        double const seconds = std::chrono::duration<double>(step).count();
        double const move =
            std::chrono::duration<double>(step).count() /
            std::chrono::duration<double>(this->settings.stay).count();
        for (std::size_t& host : this->host_of_caller)
        {
            if (this->unit() < move)
            {
                host = this->pick(this->hosts.size());
            }
        }
        if (this->demand <= 0)
        {
            return;
        }
        std::size_t const count = std::poisson_distribution<std::size_t>(
            this->demand * seconds)(this->random);
        for (std::size_t each = 0; each < count; ++each)
        {
            std::size_t const host =
                this->host_of_caller[this->pick(this->host_of_caller.size())];
            ++this->arrived;
            if (this->hosts[host]->accept(this->customer, this->now))
            {
                this->accepted_at.push_back(this->now);
            }
        }
    }

    void send_message(std::function<void()> const& deliver_it)
    {
        if (this->unit() < this->settings.lost)
        {
            return;
        }
        int const copies = this->unit() < this->settings.doubled ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            duration const delay = std::chrono::duration_cast<duration>(
                this->settings.max_delay * this->unit());
            this->messages.emplace(this->now + delay, deliver_it);
        }
    }

    void report(std::size_t host)
    {
        std::optional<customer_report> const report =
            this->hosts[host]->pop_report(this->now);
        if (!report.has_value() || this->cut[host] ||
            this->settings.how != division::leases)
        {
            return;
        }
        std::uint64_t const incarnation = this->incarnations[host];
        this->send_message(
            [this, host, incarnation, report = *report]
            {
                if (this->leader_back_at <= this->now)
                {
                    this->allocator.record(this->name_of(host), incarnation,
                                           report, this->now);
                }
            });
    }

    void lead()
    {
        if (this->settings.how != division::leases)
        {
            this->give_all();
            return;
        }
        bool const leads = this->leader_back_at <= this->now;
        if (leads && !this->led)
        {
            this->allocator.start(this->now);
        }
        this->led = leads;
        if (!leads || !this->allocator.is_due(this->now))
        {
            return;
        }
        for (auto const& [name, allocation] :
             this->allocator.allocate(this->hosts.size(), this->now))
        {
            std::size_t const host = this->host_named(name);
            std::uint64_t const incarnation = this->incarnations[host];
            if (this->cut[host])
            {
                continue;
            }
            this->send_message(
                [this, host, incarnation, allocation = allocation]
                {
                    if (this->incarnations[host] == incarnation)
                    {
                        this->hosts[host]->apply(allocation, this->now);
                    }
                });
        }
    }

    /// Every host may use all of what it was configured with.
    void give_all()
    {
        for (std::unique_ptr<customer_limits> const& host : this->hosts)
        {
            std::optional<customer_report> const report =
                host->pop_report(this->now);
            if (report.has_value())
            {
                host->apply(
                    {report->number, 0, {{this->customer, 1'000'000, 0}}},
                    this->now);
            }
        }
    }

    void deliver()
    {
        while (!this->messages.empty() &&
               this->messages.begin()->first <= this->now)
        {
            std::function<void()> const act = this->messages.begin()->second;
            this->messages.erase(this->messages.begin());
            act();
        }
    }

    host_id name_of(std::size_t host) const
    {
        return host_id(fmt::format("e{}", host));
    }

    std::size_t host_named(host_id const& name) const
    {
        return static_cast<std::size_t>(std::stoul(name.text().substr(1)));
    }

    customer_fleet_settings settings;
    std::mt19937_64 random;
    customer_id customer{"c"};
    std::uint64_t rate;
    std::uint64_t burst;
    double demand;
    std::vector<bool> cut;
    revision configuration = 1;
    instant now = instant{} + 1h;
    std::vector<std::unique_ptr<customer_limits>> hosts;
    std::vector<std::uint64_t> incarnations;
    std::vector<std::size_t> host_of_caller;
    std::multimap<instant, std::function<void()>> messages;
    limit_allocator allocator;
    instant leader_back_at{};
    bool led = true;
    std::vector<instant> accepted_at;
    std::size_t arrived = 0;
};

} // namespace bilberrylead::policy

#endif
