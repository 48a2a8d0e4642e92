#ifndef BILBERRYLEAD_LINK_MESSAGES_REGION_PLAN_HPP
#define BILBERRYLEAD_LINK_MESSAGES_REGION_PLAN_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/link/messages/admission_shares.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace bilberrylead::link
{

/// Share of one service's requests that runs in one region.
struct region_share
{
    /// The service.
    service_id service;
    /// Where requests run.
    region_id region;
    /// Share, in thousandths.
    std::uint32_t share = 0;

    friend bool operator==(region_share const&, region_share const&) = default;
};

/// Where the requests of a region are to run. The leader tells it to the
/// region's entry hosts and control hosts; these tell it to entry hosts that
/// start. Shares that are not named are 0; a service that is not named runs
/// at home.
struct region_plan
{
    /// Term of the leader that made it: an older one's plan counts no more.
    std::uint64_t term = 0;
    /// All shares that are over 0.
    std::vector<region_share> shares;
    /// Entry hosts that the leader recently knew of; 0 if it did not say.
    std::uint64_t entry_hosts = 0;
    /// What the region's entry hosts admit; empty if there is no plan.
    std::optional<admission_shares> admission = std::nullopt;

    friend bool operator==(region_plan const&, region_plan const&) = default;
};

} // namespace bilberrylead::link

#endif
