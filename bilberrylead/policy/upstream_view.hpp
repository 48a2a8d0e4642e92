#ifndef BILBERRYLEAD_POLICY_UPSTREAM_VIEW_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_VIEW_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/upstream_condition.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// The state of one upstream of one service as known to one entry host.
/// Maintained by the entry host; load-balancing policies only read it.
struct upstream_view
{
    /// Id of the upstream.
    upstream_id id;
    /// Requests that the upstream runs concurrently; at least 1.
    std::uint32_t slots = 1;
    /// Slots that may be used now, 0 to `slots`; fewer than `slots` while the
    /// upstream is probing.
    std::uint32_t usable_slots = 1;
    /// Requests from this entry host that the upstream has not answered yet.
    /// Counted locally, so that the number is current and exact.
    std::uint32_t in_flight = 0;
    /// Slots in use by other entry hosts, by the upstream's last load report.
    std::uint32_t in_use_by_others = 0;
    /// Age of that report; duration::max() if there was none.
    duration report_age = duration::max();
    /// Mean of recent service times, without network latency and waiting; over
    /// 0.
    duration service_time = std::chrono::milliseconds(20);
    /// One-way network latency to the upstream; over 0 unless it runs on the
    /// same host.
    duration one_way_latency{};
    /// Health of the upstream.
    upstream_condition condition = upstream_condition::healthy;
    /// True once any signal has announced that the upstream is leaving; it
    /// receives no new work.
    bool leaving = false;
    /// False if the caller's selectors exclude the upstream.
    bool allowed = true;

    /// True if new work may be sent to the upstream.
    bool accepts_work() const
    {
        return this->allowed && !this->leaving && this->usable_slots > 0;
    }
};

} // namespace bilberrylead::policy

#endif
