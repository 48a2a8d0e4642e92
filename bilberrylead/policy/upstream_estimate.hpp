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
    void ran(duration time, duration usual, instant now);

    /// It holds so many requests in all, `own` of them from this host.
    void reported(std::uint32_t held, std::uint32_t own, instant now);

    /// It turned a request away: it is full, whatever it said before.
    void turned_away(std::uint32_t slots, std::uint32_t own, instant now);

    /// Requests of others that it holds, where its siblings hold `usual`.
    double others(double usual, instant now) const;

    /// How many times slower than its siblings it is, 0.25 to 16.
    double slowness(instant now) const;

private:
    double held_by_others = 0;
    double slow = 1;
    instant reported_at{};
    instant ran_at{};
    bool is_reported = false;
    bool has_run = false;
};

} // namespace bilberrylead::policy

#endif
