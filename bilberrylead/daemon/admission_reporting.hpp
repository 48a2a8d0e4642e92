#ifndef BILBERRYLEAD_DAEMON_ADMISSION_REPORTING_HPP
#define BILBERRYLEAD_DAEMON_ADMISSION_REPORTING_HPP

#include "bilberrylead/config/admission_mode.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::daemon
{

/// Decides which heartbeats of an entry host contain its demand for admission:
/// only with admission by plan, since a peer of an earlier version rejects
/// messages with this field; only those to the leader, which alone plans; and
/// only every second one.
class admission_reporting
{
public:
    /// Shortest interval between two reports. Longer than a heartbeat
    /// interval, so that every second heartbeat contains one: a report may be
    /// 2 KB long, and control traffic of a host is limited to 5 KB a second.
    static constexpr std::chrono::milliseconds min_interval{750};

    /// For a host with this setting; no leader is known yet.
    explicit admission_reporting(config::admission_mode mode) : mode(mode)
    {
    }

    /// Records that another control host leads: it plans once it has the
    /// demand of most hosts, so the next heartbeat to it contains a report.
    void leader_changed(host_id const& new_leader)
    {
        this->leader = new_leader;
        this->reported_at = instant{};
    }

    /// True if the heartbeat that is sent to this control host now contains
    /// the demand; the report then counts as sent.
    bool take_turn(host_id const& peer, instant now)
    {
        if (this->mode != config::admission_mode::by_plan ||
            this->leader.empty() || peer != this->leader ||
            now - this->reported_at < min_interval)
        {
            return false;
        }
        this->reported_at = now;
        return true;
    }

private:
    config::admission_mode mode;
    host_id leader;
    instant reported_at{};
};

} // namespace bilberrylead::daemon

#endif
