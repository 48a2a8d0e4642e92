#ifndef BILBERRYLEAD_POLICY_UPSTREAM_PLACEMENT_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_PLACEMENT_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/placement_candidate.hpp"
#include "bilberrylead/policy/placement_request.hpp"
#include "bilberrylead/policy/placement_settings.hpp"
#include "bilberrylead/policy/placement_verdict.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace bilberrylead::policy
{

class generator;

/// Selects the upstream of a request when many entry hosts share all upstreams
/// and none of them sees the others' requests.
///
/// Load it handles: requests about objects, near or beyond the capacity of all
/// slots, on upstreams that are faster with an object that they worked on
/// recently. With selection by load alone, every upstream receives every
/// object, no object stays in a cache, and the same slots serve fewer requests.
/// With selection by object alone, one popular object overloads one upstream.
/// Here each object ranks the upstreams in the same order on all entry hosts
/// (rendezvous hashing: few objects move when an upstream is added or removed),
/// and a request goes to the upstream with the least expected completion time:
/// the wait for a slot, the run time, which is longer where the object is not
/// cached, and the network round trip.
///
/// Traffic between zones may be expensive. Homes can therefore be in the zone
/// of the entry host: each zone has its own first choice, which callers in that
/// zone keep cached, and the one of another zone takes the overflow. The first
/// choice of a region is the first choice of one of its zones as well. Hosts of
/// other regions, and hosts that use the homes of the region, therefore send to
/// upstreams that have the object cached.
///
/// A request that would complete too late on every upstream is refused at once:
/// a slot that works on it would delay the following requests as well.
class upstream_placement
{
public:
    /// Creates a placement that follows `settings`.
    explicit upstream_placement(placement_settings const& settings = {});

    /// Selects the upstream of one request, or refuses the request.
    placement_verdict place(std::span<placement_candidate const> candidates,
                            placement_request const& request,
                            generator& random) const;

    /// Expected time until a slot of the candidate is free.
    static duration expected_wait(placement_candidate const& candidate);

private:
    /// Zones of a region whose homes are known. Homes in further zones count as
    /// not cached.
    static constexpr std::size_t max_zones = 8;

    /// The two upstreams of a group with the largest weights for an object.
    struct ranking
    {
        std::optional<std::size_t> first;
        std::optional<std::size_t> second;
        std::uint64_t first_weight = 0;
        std::uint64_t second_weight = 0;
        std::uint32_t upstreams = 0;

        void add(std::size_t index, std::uint64_t weight);
    };

    /// The ranking among the upstreams of one zone.
    struct zone_ranking
    {
        std::uint32_t zone = 0;
        ranking upstreams;
    };

    /// First-choice and second-choice upstreams of an object in one region.
    struct preferred_upstreams
    {
        /// Among all upstreams of the region.
        ranking region;
        /// By zone, if homes are in the zone.
        std::array<zone_ranking, max_zones> zones;
        std::size_t zone_count = 0;
        /// Ranking of the own zone among them; empty if homes are those of the
        /// region.
        std::optional<std::size_t> own_zone;

        void add_to_zone(std::uint32_t zone, std::size_t index,
                         std::uint64_t weight);
        bool is_home_of_zone(std::size_t index, std::uint32_t required) const;
    };

    static preferred_upstreams
    find_preferred_upstreams(std::span<placement_candidate const> candidates,
                             placement_request const& request,
                             std::uint32_t region);
    double run_factor(placement_candidate const& candidate, std::size_t index,
                      preferred_upstreams const& preferred,
                      placement_request const& request) const;

    placement_settings settings;
};

} // namespace bilberrylead::policy

#endif
