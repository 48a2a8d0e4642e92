#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_UPSTREAM_MODEL_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_UPSTREAM_MODEL_HPP

#include "bilberrylead/core/time.hpp"
#include "scenario.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace policy_bench
{

/// An upstream: slots, and a queue behind them without end.
class upstream_model
{
public:
    /// Makes an upstream on `machine` of a scenario.
    upstream_model(std::uint32_t machine, std::uint32_t slots,
                   scenario const& what);

    /// Takes a request; true if it starts at once.
    bool take(std::uint32_t request);

    /// A request ended; the one that starts in its place, if any waits.
    std::optional<std::uint32_t> finish();

    /// Time that the work takes here, if it starts now.
    bilberrylead::duration run_time(bilberrylead::duration work);

    /// Restarts it, if it is the one: what comes next meets cold caches.
    void restart();

    /// Requests that run or wait.
    std::uint32_t held() const;

    /// What it says it holds.
    std::uint32_t reported() const;

private:
    std::uint32_t slots;
    std::uint32_t running = 0;
    std::deque<std::uint32_t> queue;
    double factor = 1;
    std::uint32_t cold_requests = 0;
    bool lies = false;
    bool restarts = false;
};

} // namespace policy_bench

#endif
