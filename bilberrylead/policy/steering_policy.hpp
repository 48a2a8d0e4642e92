#ifndef BILBERRYLEAD_POLICY_STEERING_POLICY_HPP
#define BILBERRYLEAD_POLICY_STEERING_POLICY_HPP

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/steering_answer.hpp"
#include "bilberrylead/policy/steering_host.hpp"
#include "bilberrylead/policy/steering_settings.hpp"
#include "bilberrylead/policy/steering_zone.hpp"
#include "bilberrylead/policy/traffic_shares.hpp"

#include <cstddef>
#include <vector>

namespace bilberrylead::policy
{

/// Picks the entry hosts that a caller is told to use.
///
/// Load it answers: many callers asking within one report interval. Clients
/// cache answers and reports lag, so the zone that looked idle is told to
/// everybody until its next report, and is then overrun for as long as the
/// clients keep the answer. Here each answer counts as load before it
/// arrives, and answers are kept for a shorter time the less room there is.
/// Regions are picked by the shares of the plan, never by this host's own
/// idea, or the cap on shifts would not hold. An answer looks at the zones
/// of one region and the hosts of one or two zones, however many hosts there
/// are, and allocates nothing.
class steering_policy
{
public:
    /// Makes a policy over these zones and hosts.
    steering_policy(std::vector<steering_zone> const& zones,
                    std::vector<steering_host> const& hosts,
                    steering_settings const& settings = {});

    /// A zone's report came in.
    void report(std::size_t zone, std::uint32_t slots, double in_use,
                instant now);

    /// An entry host became ready, or leaves.
    void set_takes_callers(std::size_t host, bool takes_callers);

    /// Answers a caller of `region`.
    steering_answer answer(std::size_t region, traffic_shares const& shares,
                           instant now, generator& random);

    /// The zones as counted now.
    std::vector<steering_zone> const& zones() const
    {
        return this->places;
    }

private:
    /// What is looked up for each answer, kept up when hosts change.
    struct zone_hosts
    {
        /// The zone's hosts that take callers.
        std::vector<std::size_t> hosts;
        /// The sum of their weights.
        std::uint32_t weight = 0;
    };

    std::size_t pick_region(std::size_t region, traffic_shares const& shares,
                            generator& random) const;
    double room(std::size_t zone) const;
    double free_share(steering_zone const& zone) const;
    void list_hosts(std::size_t zone);
    std::size_t pick_host(std::size_t zone, generator& random) const;
    bool add_picked(std::size_t region, steering_answer& given,
                    generator& random) const;
    void add_fallbacks(std::size_t region, steering_answer& given) const;

    steering_settings settings;
    std::vector<steering_zone> places;
    std::vector<steering_host> hosts;
    std::vector<zone_hosts> taking;
    /// Each region's own zones, nearest first.
    std::vector<std::vector<std::size_t>> own_zones;
};

} // namespace bilberrylead::policy

#endif
