#ifndef BILBERRYLEAD_TESTS_UNIT_ENTRY_FLEET_TRAFFIC_HPP
#define BILBERRYLEAD_TESTS_UNIT_ENTRY_FLEET_TRAFFIC_HPP

#include "tests/unit/entry/upstream_fleet.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace bilberrylead::entry
{

/// Where requests arrive.
struct fleet_callers
{
    /// Hosts that receive requests: the first ones, at most all of them.
    std::size_t hosts = std::numeric_limits<std::size_t>::max();
    /// Seed of their arrivals.
    std::uint64_t seed = 7;
};

/// Sends `per_second` requests per second in total to randomly selected hosts.
inline void send_requests(upstream_fleet& fleet, double per_second,
                          duration time, fleet_callers const& callers = {})
{
    policy::generator random(callers.seed);
    std::size_t const hosts = std::min(fleet.hosts(), callers.hosts);
    std::uint64_t number = 1;
    constexpr duration step = 10ms;
    constexpr double steps_per_second = 100;
    for (duration passed{}; passed < time; passed += step)
    {
        // At most one arrival in a step below 100 requests per second.
        for (double expected = per_second / steps_per_second; expected > 0;
             expected -= 1)
        {
            if (random.unit() < std::min(expected, 1.0))
            {
                fleet.arrive(random.below(static_cast<std::uint32_t>(hosts)),
                             2 * ++number + 1);
            }
        }
        fleet.run_for(step);
    }
}

} // namespace bilberrylead::entry

#endif
