#ifndef BILBERRYLEAD_TESTS_AGREEMENT_TIMED_GROUP_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_TIMED_GROUP_HPP

#include "test_group.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace bilberrylead::agreement::tests
{

/// A group whose messages take time, and whose hosts tick at different moments.
/// Hosts 0 and 3, and 1 and 4, are in the same regions.
struct timed_group : test_group
{
    static constexpr std::size_t regions = 3;

    timed_group(std::size_t members, std::uint64_t seed, duration between,
                replica_settings const& group_settings = {})
        : test_group(members, 0, seed, group_settings),
          between_regions(between), random(seed)
    {
        std::uniform_int_distribution<duration::rep> phase(
            0, this->settings.tick_interval.count() - 1);
        for (std::size_t host = 0; host < members; ++host)
        {
            this->next_ticks.emplace_back(phase(this->random));
        }
    }

    duration delay(std::size_t from, std::size_t to) const
    {
        return from % regions == to % regions ? std::chrono::milliseconds(1)
                                              : this->between_regions;
    }

    /// Gives messages that were sent since the last call their time of arrival;
    /// those over links that are not open are lost.
    void schedule_sent()
    {
        while (!this->in_flight.empty())
        {
            envelope next = std::move(this->in_flight.front());
            this->in_flight.pop_front();
            if (!this->closed_links.contains({next.from, next.to}))
            {
                this->arrivals.emplace_back(this->elapsed +
                                                this->delay(next.from, next.to),
                                            std::move(next));
            }
        }
    }

    /// Lets a millisecond pass.
    void step()
    {
        this->elapsed += std::chrono::milliseconds(1);
        for (std::size_t host = 0; host < this->hosts.size(); ++host)
        {
            if (this->next_ticks[host] <= this->elapsed)
            {
                this->next_ticks[host] += this->settings.tick_interval;
                if (this->hosts[host].is_running())
                {
                    this->process(host, tick{});
                }
            }
        }
        this->schedule_sent();
        std::deque<std::pair<duration, envelope>> const all =
            std::exchange(this->arrivals, {});
        for (auto const& [due, message] : all)
        {
            if (due > this->elapsed)
            {
                this->arrivals.emplace_back(due, message);
                continue;
            }
            std::size_t const to = message.to;
            this->in_flight.push_back(message);
            this->deliver(0);
            if (this->hosts[to].is_running())
            {
                this->carry_out_all(to);
            }
            this->schedule_sent();
        }
    }

    /// Time until a host leads, other than `former`; nothing after `longest`.
    std::optional<duration> time_to_leader(std::optional<std::size_t> former,
                                           duration longest)
    {
        duration const start = this->elapsed;
        while (this->elapsed - start < longest)
        {
            this->step();
            std::optional<std::size_t> const current = this->leader();
            if (current.has_value() && current != former)
            {
                return this->elapsed - start;
            }
        }
        return std::nullopt;
    }

    duration between_regions;
    std::set<std::pair<std::size_t, std::size_t>> closed_links;
    std::vector<duration> next_ticks;
    std::deque<std::pair<duration, envelope>> arrivals;
    std::mt19937_64 random;
};

} // namespace bilberrylead::agreement::tests

#endif
