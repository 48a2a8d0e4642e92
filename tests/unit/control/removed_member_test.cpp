#include "tests/unit/control/control_group.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::tests;

namespace
{

/// A control host of a group of three, reached by another member and by nobody
/// else, and the control hosts that it keeps links to.
struct host_linked_to_one_member
{
    host_linked_to_one_member()
        : host(settings_of_host(), process_seed(control_host(0), 1))
    {
        control::control_started first;
        first.recovered.initial_membership.emplace();
        for (std::size_t index = 0; index < 3; ++index)
        {
            first.recovered.initial_membership->put(
                {control_host(index), 1, true, false});
        }
        this->dispatch(std::move(first));
        this->dispatch(control::peer_connected{
            1, {control_host(1), link::peer_role::control, 1}});
    }

    static control::control_reducer_settings settings_of_host()
    {
        control::control_reducer_settings settings;
        settings.self = control_host(0);
        settings.planner.emplace();
        return settings;
    }

    void dispatch(control::control_event event)
    {
        std::vector<control::control_event> const events{std::move(event)};
        for (control::control_effect const& effect :
             this->host.reduce(events, this->time))
        {
            if (control::link_members const* const wanted =
                    std::get_if<control::link_members>(&effect))
            {
                this->linked = wanted->hosts;
            }
        }
    }

    void advance(int ticks)
    {
        for (int tick = 0; tick < ticks; ++tick)
        {
            this->time += agreement::replica_settings{}.tick_interval;
            this->dispatch(control::control_tick{});
        }
    }

    /// The member reports a group that this host is not part of any more.
    void report_group_of(host_id const& replacement)
    {
        link::group_news news;
        news.control_hosts = {{control_host(1), {}, {}}, {replacement, {}, {}}};
        this->dispatch(control::peer_message{1, news});
    }

    bool keeps_link_to(host_id const& other) const
    {
        return std::find(this->linked.begin(), this->linked.end(), other) !=
               this->linked.end();
    }

    control::control_reducer host;
    instant time{std::chrono::seconds(1)};
    std::vector<host_id> linked;
};

} // namespace

// Guards against a voter that was removed while it stood still and never comes
// back, since the leader is a host that its own log does not name.
Test(removed_member, without_a_leader_links_to_hosts_that_members_report)
{
    host_linked_to_one_member removed;
    removed.advance(30);
    removed.report_group_of(control_host(7));
    cr_expect(removed.keeps_link_to(control_host(7)));
    cr_expect(removed.keeps_link_to(control_host(2)));
    removed.advance(30);
    cr_expect(removed.keeps_link_to(control_host(7)));
}

// Guards against links to hosts of an older group in a host that follows its
// leader: its log goes before what others report.
Test(removed_member, with_a_leader_links_to_the_members_of_its_log)
{
    control_group group;
    std::size_t const leader = group.wait_for_leader();
    std::size_t const follower = (leader + 1) % control_group::hosts;
    link::group_news news;
    news.control_hosts = {{control_host(7), {}, {}}};
    std::vector<control::control_event> const events{
        control::peer_message{leader, news}};
    for (control::control_effect const& effect :
         group.nodes.at(follower)->reduce(events, group.time))
    {
        cr_expect_not(std::holds_alternative<control::link_members>(effect));
    }
}
