#include "bilberrylead/membership/member_planner.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using agreement::membership_action;
using agreement::membership_change_requested;
using membership::member_planner_settings;
using membership::next_change;
using membership::planned_host;

namespace
{

member_planner_settings two_disks()
{
    member_planner_settings settings;
    settings.losses = {2, 1, 1};
    return settings;
}

/// Two hosts in each of three regions, each in a zone of its own. The first
/// host leads; the first host of each region is an initial member.
std::vector<planned_host> six_hosts()
{
    std::vector<planned_host> hosts;
    for (int number = 0; number < 6; ++number)
    {
        planned_host host;
        host.host = host_id("c" + std::to_string(number));
        host.incarnation = 1;
        host.region = region_id("r" + std::to_string(number % 3));
        host.zone = zone_id("z" + std::to_string(number));
        host.member = number < 3;
        host.voter = number < 3;
        host.caught_up = number < 3;
        host.linked = true;
        host.leader = number == 0;
        hosts.push_back(host);
    }
    return hosts;
}

/// Applies a change to the hosts at once, as the group would.
void carry_out(std::vector<planned_host>& hosts,
               membership_change_requested const& change)
{
    for (planned_host& host : hosts)
    {
        if (host.host != change.host)
        {
            continue;
        }
        host.member = change.action != membership_action::remove;
        host.voter = change.action == membership_action::add_voter;
        host.caught_up = host.member && host.linked;
        host.time_since_reply = host.linked ? 0s : host.time_since_reply;
    }
}

/// Applies changes until none is left and returns their number; fails if the
/// planner does not stop.
std::size_t settle(std::vector<planned_host>& hosts)
{
    for (std::size_t changes = 0; changes < 30; ++changes)
    {
        auto const change = next_change(hosts, two_disks());
        if (!change.has_value())
        {
            return changes;
        }
        carry_out(hosts, *change);
    }
    cr_assert_fail("the planner still changes the group after 30 changes");
    return 0;
}

std::size_t voters(std::vector<planned_host> const& hosts)
{
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(),
                                                  [](planned_host const& host)
                                                  {
                                                      return host.voter;
                                                  }));
}

std::size_t voters_in(std::vector<planned_host> const& hosts,
                      std::string const& region)
{
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(),
                      [&region](planned_host const& host)
                      {
                          return host.voter && host.region == region_id(region);
                      }));
}

void lose(planned_host& host)
{
    host.linked = false;
    host.time_since_reply = 2s;
    host.caught_up = false;
}

} // namespace

// The group starts with three initial members. If these stayed the only
// voters, the loss of two disks could destroy the only two copies of an order.
Test(member_planner, three_initial_members_grow_to_five_voters_as_hosts_join)
{
    std::vector<planned_host> hosts = six_hosts();
    settle(hosts);
    cr_expect_eq(voters(hosts), 5U);
    for (std::string const region : {"r0", "r1", "r2"})
    {
        cr_expect_leq(voters_in(hosts, region), 2U, "%s", region.c_str());
    }
    cr_expect(std::all_of(hosts.begin(), hosts.end(),
                          [](planned_host const& host)
                          {
                              return host.member;
                          }));
}

// A host fails permanently. The spare learner must become a voter before the
// failed one is removed, so that the number of copies never decreases.
Test(member_planner, failed_voter_is_replaced_before_it_is_removed)
{
    std::vector<planned_host> hosts = six_hosts();
    settle(hosts);
    planned_host* const dead =
        &*std::find_if(hosts.begin(), hosts.end(),
                       [](planned_host const& host)
                       {
                           return host.voter && !host.leader;
                       });
    lose(*dead);
    auto const first = next_change(hosts, two_disks());
    cr_assert(first.has_value());
    cr_expect(first->action == membership_action::add_voter);
    carry_out(hosts, *first);
    auto const second = next_change(hosts, two_disks());
    cr_assert(second.has_value());
    cr_expect(second->action == membership_action::remove);
    cr_expect(second->host == dead->host);
}

// Two hosts are lost one after the other and are replaced by empty hosts at
// other addresses.
Test(member_planner, two_successive_replacements_leave_five_responsive_voters)
{
    std::vector<planned_host> hosts = six_hosts();
    settle(hosts);
    for (int round = 0; round < 2; ++round)
    {
        planned_host* const dead =
            &*std::find_if(hosts.begin(), hosts.end(),
                           [](planned_host const& host)
                           {
                               return host.voter && !host.leader && host.linked;
                           });
        lose(*dead);
        planned_host successor;
        successor.host = host_id("n" + std::to_string(round));
        successor.incarnation = 9;
        successor.region = dead->region;
        successor.zone = dead->zone;
        successor.linked = true;
        settle(hosts);
        hosts.push_back(successor);
        settle(hosts);
    }
    std::size_t const responsive = static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(),
                      [](planned_host const& host)
                      {
                          return host.voter && host.linked;
                      }));
    cr_expect_eq(responsive, 5U);
    cr_expect_eq(voters(hosts), 5U);
}

// A region is cut off, its votes are given to hosts in other regions, and it
// becomes reachable again. No region may keep more votes than the group can
// lose.
Test(member_planner, votes_stay_balanced_after_a_region_reconnects)
{
    std::vector<planned_host> hosts = six_hosts();
    settle(hosts);
    for (planned_host& host : hosts)
    {
        if (host.region == region_id("r1"))
        {
            lose(host);
        }
    }
    settle(hosts);
    for (planned_host& host : hosts)
    {
        if (host.region == region_id("r1"))
        {
            host.linked = true;
            host.time_since_reply = 0s;
            host.caught_up = host.member;
        }
    }
    settle(hosts);
    cr_expect_eq(voters(hosts), 5U);
    for (std::string const region : {"r0", "r1", "r2"})
    {
        cr_expect_leq(voters_in(hosts, region), 2U, "%s", region.c_str());
    }
}

// Most of the hosts are unreachable for a short time. The group must not
// shrink to the rest, since accepted entries may be stored only on the
// unreachable hosts.
Test(member_planner, unreachable_majority_without_a_spare_keeps_its_votes)
{
    std::vector<planned_host> hosts = six_hosts();
    settle(hosts);
    for (planned_host& host : hosts)
    {
        if (!host.leader && host.host != host_id("c1"))
        {
            lose(host);
        }
    }
    auto const change = next_change(hosts, two_disks());
    cr_expect(!change.has_value() ||
              change->action != membership_action::remove ||
              std::none_of(hosts.begin(), hosts.end(),
                           [&change](planned_host const& host)
                           {
                               return host.host == change->host && host.voter;
                           }));
}

Test(member_planner, unresponsive_learner_is_removed)
{
    std::vector<planned_host> hosts = six_hosts();
    settle(hosts);
    planned_host* const learner = &*std::find_if(hosts.begin(), hosts.end(),
                                                 [](planned_host const& host)
                                                 {
                                                     return !host.voter;
                                                 });
    learner->linked = false;
    learner->time_since_reply = 2s;
    cr_expect_not(next_change(hosts, two_disks()).has_value());
    learner->time_since_reply = 20s;
    auto const change = next_change(hosts, two_disks());
    cr_assert(change.has_value());
    cr_expect(change->action == membership_action::remove);
    cr_expect(change->host == learner->host);
}
