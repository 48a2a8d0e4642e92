#ifndef BILBERRYLEAD_POLICY_UPSTREAM_VIEW_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_VIEW_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/upstream_condition.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// One upstream of one service as one entry host sees it. Kept up by the
/// entry host; the choices only read it.
struct upstream_view
{
    /// The upstream.
    upstream_id id;
    /// Requests it runs at a time; at least 1.
    std::uint32_t slots = 1;
    /// Slots that may be used now, 0 to `slots`: fewer while it is probing.
    std::uint32_t usable_slots = 1;
    /// Requests of this entry host that it has not answered yet. Counted
    /// here, so neither late nor wrong.
    std::uint32_t in_flight = 0;
    /// Slots in use by other entry hosts, by its last load report.
    std::uint32_t in_use_by_others = 0;
    /// Age of that report; duration::max() if there never was one.
    duration report_age = duration::max();
    /// Mean service time of late, without links and waiting; over 0.
    duration service_time = std::chrono::milliseconds(20);
    /// One-way latency to it; over 0 outside of the own host.
    duration one_way_latency{};
    /// How far it is trusted.
    upstream_condition condition = upstream_condition::healthy;
    /// True once any signal said that it leaves: no new work.
    bool leaving = false;
    /// False if the caller's selectors do not reach it.
    bool allowed = true;

    /// True if new work may be sent to it at all.
    bool accepts_work() const
    {
        return this->allowed && !this->leaving && this->usable_slots > 0;
    }
};

} // namespace bilberrylead::policy

#endif
