#ifndef BILBERRYLEAD_CONTROL_REGION_LOAD_TABLE_HPP
#define BILBERRYLEAD_CONTROL_REGION_LOAD_TABLE_HPP

#include "bilberrylead/config/place.hpp"
#include "bilberrylead/config/upstream.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/link/messages/entry_presence.hpp"
#include "bilberrylead/link/messages/region_plan.hpp"
#include "bilberrylead/policy/region_capacity.hpp"
#include "bilberrylead/policy/region_plan_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bilberrylead::control
{

/// Demand and capacity of every service in each region.
class region_load_table
{
public:
    /// Shares of each region's requests that run in each region, by service and
    /// in the order of region_indexes().
    using share_table = std::map<service_id, std::vector<std::vector<double>>>;

    /// Makes an empty table of the regions of these places.
    explicit region_load_table(std::vector<config::place> const& places);

    /// Adds the slots of an upstream.
    void add_upstream(config::upstream const& upstream);

    /// Adds the demand of an entry host's callers.
    void add_entry_host(link::entry_presence const& message);

    /// Plans where the requests of each region run.
    share_table shares(policy::region_plan_settings const& settings) const;

    /// The shares as messages, by the region that the requests come from.
    std::map<region_id, link::region_plan> plans(share_table const& shares,
                                                 std::uint64_t term) const;

    /// Position of each region.
    std::map<region_id, std::size_t> const& region_indexes() const
    {
        return this->indexes;
    }

    /// Demand and capacity of each service, in the order of region_indexes().
    std::map<service_id, std::vector<policy::region_capacity>> const&
    services() const
    {
        return this->capacities;
    }

private:
    policy::region_capacity* capacity_of(service_id const& service,
                                         region_id const& region);

    std::map<zone_id, region_id> region_of;
    std::map<region_id, std::size_t> indexes;
    std::map<service_id, std::vector<policy::region_capacity>> capacities;
};

} // namespace bilberrylead::control

#endif
