#ifndef BILBERRYLEAD_POLICY_UPSTREAM_ESTIMATE_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_ESTIMATE_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// What one entry host believes of an upstream that others use as well: how
/// much of it they hold, and how slow it is against its siblings. Both come
/// from answers, so they are as old as the last one; with age they move
/// towards what is usual, so that an upstream that was busy or slow once is
/// tried again. Fixed memory, no allocation.
class upstream_estimate
{
public:
    /// It worked so long on a request, where its siblings usually need
    /// `usual` (over 0).
    void record_run(duration run_time, duration sibling_mean, instant now);

    /// It holds so many requests in all, `own` of them from this host.
    void record_report(std::uint32_t held, std::uint32_t own, instant now);

    /// It turned a request away: it is full, whatever it said before.
    void record_refusal(std::uint32_t slots, std::uint32_t own, instant now);

    /// Requests of others that it holds, where its siblings hold `usual`.
    double held_by_others(double sibling_mean, instant now) const;

    /// How many times slower than its siblings it is, 0.25 to 16.
    double slowdown(instant now) const;

private:
    double mean_held_by_others = 0;
    double mean_slowdown = 1;
    instant last_report_at{};
    instant last_run_at{};
    bool has_report = false;
    bool has_run = false;
};

} // namespace bilberrylead::policy

#endif
