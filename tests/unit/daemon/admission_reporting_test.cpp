#include "bilberrylead/daemon/admission_reporting.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using namespace std::chrono_literals;
using daemon::admission_reporting;

namespace
{

instant const start = instant{} + 1h;
host_id const leader("c1");
host_id const follower("c2");

/// Reports that a host sends to a control host in ten heartbeats.
int reports_in_10_heartbeats(config::admission_mode mode, host_id const& peer)
{
    admission_reporting reporting(mode);
    reporting.leader_changed(leader);
    int reports = 0;
    for (int heartbeat = 0; heartbeat < 10; ++heartbeat)
    {
        reports += reporting.take_turn(peer, start + heartbeat * 500ms) ? 1 : 0;
    }
    return reports;
}

} // namespace

// Guards against a mixed-version deployment whose older control hosts drop the
// heartbeats of updated entry hosts although the setting is off.
Test(admission_reporting, nothing_is_reported_unless_admission_is_by_plan)
{
    for (config::admission_mode const mode :
         {config::admission_mode::none, config::admission_mode::by_rank})
    {
        cr_expect_eq(reports_in_10_heartbeats(mode, leader), 0);
        cr_expect_eq(reports_in_10_heartbeats(mode, follower), 0);
    }
}

// Guards against more control traffic than a report a second: followers do not
// plan.
Test(admission_reporting, every_second_heartbeat_to_the_leader_has_a_report)
{
    config::admission_mode const mode = config::admission_mode::by_plan;
    cr_expect_eq(reports_in_10_heartbeats(mode, leader), 5);
    cr_expect_eq(reports_in_10_heartbeats(mode, follower), 0);
}

// Guards against a new leader that waits for reports: it plans only once it has
// those of most hosts.
Test(admission_reporting, new_leader_receives_a_report_at_once)
{
    admission_reporting reporting(config::admission_mode::by_plan);
    cr_expect_not(reporting.take_turn(leader, start), "nobody leads");
    reporting.leader_changed(leader);
    cr_expect(reporting.take_turn(leader, start));
    reporting.leader_changed(follower);
    cr_expect_not(reporting.take_turn(leader, start + 10ms));
    cr_expect(reporting.take_turn(follower, start + 10ms));
}
