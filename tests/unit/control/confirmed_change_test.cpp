#include "bilberrylead/core/error.hpp"
#include "bilberrylead/distribution/revision_exchange.hpp"
#include "tests/unit/control/control_group.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::tests;
using namespace std::chrono_literals;

namespace
{

constexpr duration confirmation_wait = 500ms;
/// Ticks after which the entry hosts have linked to a new leader.
constexpr int linking_ticks = 8;
/// Ticks after which a confirmation is overdue.
constexpr int overdue_ticks = 9;

control::submit_change change(char const* name, revision base)
{
    return {{change_id(name), base, "operator", {}, {'{', '}'}}};
}

/// A group with a leader and one entry host, which is linked to every control
/// host and receives pushes from one that does not lead.
struct watched_group : control_group
{
    explicit watched_group(duration wait = confirmation_wait)
        : control_group(std::nullopt,
                        [wait](control::control_reducer_settings& settings,
                               control::control_started&)
                        {
                            settings.confirmation_wait = wait;
                        })
    {
        this->leader = this->wait_for_leader();
        this->pushing = (this->leader + 1) % hosts;
        this->link_entry_host(this->pushing);
        for (std::size_t index = 0; index < hosts; ++index)
        {
            if (index != this->pushing)
            {
                this->link_entry_host(index);
            }
        }
        this->deliver_everything();
        this->advance(linking_ticks);
    }

    void link_entry_host(std::size_t index)
    {
        this->connect(index, entry_link, host_id("e1"), link::peer_role::entry);
        this->entry_event(distribution::link_opened{
            index, {control_host(index), link::peer_role::control, 1}});
    }

    /// Passes an event to the entry host and carries out what it sends.
    void entry_event(distribution::exchange_event const& event)
    {
        for (distribution::exchange_effect const& effect :
             this->entry_host.reduce(event, this->time))
        {
            distribution::send_message const* const sent =
                std::get_if<distribution::send_message>(&effect);
            if (sent != nullptr && !this->is_silent)
            {
                this->dispatch(
                    static_cast<std::size_t>(sent->link),
                    {control::peer_message{entry_link, sent->content}});
            }
        }
    }

    /// Delivers until nothing is in flight, to and from the entry host too.
    /// A lost host's messages are lost.
    void deliver_everything()
    {
        bool is_done = false;
        while (!is_done)
        {
            this->deliver();
            is_done = true;
            for (std::size_t index = 0; index < hosts; ++index)
            {
                std::vector<link::message> const sent = std::exchange(
                    this->sent_to_entry_hosts[{index, entry_link}], {});
                for (link::message const& content : sent)
                {
                    is_done = false;
                    if (!this->isolated.contains(index))
                    {
                        this->receive_at_entry_host(index, content);
                    }
                }
            }
        }
    }

    void receive_at_entry_host(std::size_t from, link::message const& content)
    {
        if (link::configuration_update const* const update =
                std::get_if<link::configuration_update>(&content))
        {
            this->entry_event(distribution::update_received{from, *update});
        }
        else if (link::revision_announcement const* const announced =
                     std::get_if<link::revision_announcement>(&content))
        {
            this->entry_event(
                distribution::announcement_received{from, *announced});
        }
    }

    /// Delivers the oldest message between control hosts; there must be one.
    void deliver_next()
    {
        cr_assert_not(this->in_flight.empty());
        control_group::envelope const next = this->in_flight.front();
        this->in_flight.pop_front();
        this->dispatch(next.to,
                       {control::peer_message{next.from, next.content}});
    }

    /// Delivers until the leader, and nobody else, knows a first change.
    void deliver_until_committed()
    {
        while (this->nodes.at(this->leader)
                   ->state()
                   .configurations()
                   .current_revision() == 0)
        {
            this->deliver_next();
        }
    }

    bool is_answered(std::uint64_t number) const
    {
        auto const found = this->answers.find(number);
        return found != this->answers.end() && !found->second.empty();
    }

    bool is_accepted(std::uint64_t number)
    {
        return this->is_answered(number) &&
               std::holds_alternative<catalog::change_outcome>(
                   this->answer_to(number));
    }

    std::size_t leader = 0;
    std::size_t pushing = 0;
    distribution::revision_exchange entry_host{{}};
    bool is_silent = false;
};

} // namespace

// Guards against a change that is confirmed while only the leader can put it in
// force: an entry host that gets its revisions from another control host kept
// the older one until the next leader was elected.
Test(confirmed_change, when_the_control_hosts_are_lost_at_once_is_in_force)
{
    watched_group group;
    group.request(group.leader, 1, change("a", 0));
    // A step at a time, so that the loss comes right after the confirmation.
    for (int step = 0; step < 1000 && !group.is_answered(1); ++step)
    {
        if (group.in_flight.empty())
        {
            group.deliver_everything();
        }
        else
        {
            group.deliver_next();
        }
    }
    cr_assert(group.is_accepted(1));
    group.isolated = {0, 1, 2};
    group.deliver_everything();
    cr_expect_eq(group.entry_host.current_revision(), 1U);
}

// The change is confirmed without a heartbeat in between: nobody waits for a
// timer in a group that responds.
Test(confirmed_change, when_all_hosts_respond_is_confirmed_without_a_timer)
{
    watched_group group;
    group.request(group.leader, 1, change("a", 0));
    group.deliver_everything();
    cr_expect(group.is_accepted(1));
}

Test(confirmed_change, when_an_entry_host_is_silent_is_confirmed_after_the_wait)
{
    watched_group group;
    group.is_silent = true;
    group.request(group.leader, 1, change("a", 0));
    group.deliver_everything();
    cr_expect_not(group.is_answered(1));
    group.advance(overdue_ticks);
    cr_expect(group.is_accepted(1));
}

// Guards against a promise of a host that nobody hears: the change is
// committed, but only the leader knows.
Test(confirmed_change, when_the_leader_is_cut_off_is_not_confirmed)
{
    watched_group group;
    group.request(group.leader, 1, change("a", 0));
    group.deliver_until_committed();
    std::size_t const old = group.leader;
    group.isolated = {old};
    std::size_t const next = group.wait_for_leader();
    cr_assert_neq(next, old);
    group.advance(20);
    absl::Status const* const refused =
        std::get_if<absl::Status>(&group.answer_to(1));
    cr_assert_not_null(refused);
    cr_expect(kind_of(*refused) == error_kind::timeout);

    group.request(next, 2, change("a", 0));
    group.deliver_everything();
    group.advance(overdue_ticks);
    cr_expect(group.is_accepted(2));
}

// Guards against the same once the confirmation is overdue: a lease that still
// holds says nothing of what the others know.
Test(confirmed_change,
     when_overdue_and_known_to_the_leader_only_is_not_confirmed)
{
    for (duration const wait : {200ms, 500ms})
    {
        watched_group group(wait);
        group.request(group.leader, 1, change("a", 0));
        group.deliver_until_committed();
        group.isolated = {group.leader};
        group.in_flight.clear();
        group.time += wait + 10ms;
        cr_assert(group.nodes.at(group.leader)->log().holds_lease(group.time));
        group.dispatch(group.leader, {control::control_tick{}});
        cr_expect_not(group.is_answered(1));
    }
}

// Guards against a leader that has no lease any more, since a handover failed,
// and confirms nothing beside an entry host that is late.
Test(confirmed_change, when_a_handover_has_failed_is_confirmed_all_the_same)
{
    watched_group group;
    group.request(group.leader, 1, control::hand_over{});
    group.in_flight.clear();
    group.advance(20);
    cr_assert(group.nodes.at(group.leader)->log().role() ==
              agreement::role::leader);
    cr_assert_not(group.nodes.at(group.leader)->log().holds_lease(group.time));
    group.is_silent = true;
    group.request(group.leader, 2, change("a", 0));
    group.deliver_everything();
    cr_expect_not(group.is_answered(2));
    group.advance(overdue_ticks);
    cr_expect(group.is_accepted(2));
}

// A change that is sent again is confirmed by the same rule, and waits from its
// first commit: an operator whose calls are short must get an answer.
Test(confirmed_change, when_sent_again_before_it_is_in_force_waits_the_rest)
{
    watched_group group;
    group.is_silent = true;
    group.request(group.leader, 1, change("a", 0));
    group.deliver_everything();
    group.advance(overdue_ticks / 2);
    group.request(group.leader, 2, change("a", 0));
    group.deliver_everything();
    cr_expect_not(group.is_answered(2));
    group.advance(overdue_ticks - overdue_ticks / 2);
    cr_expect(group.is_accepted(1));
    cr_expect(group.is_accepted(2));
    group.request(group.leader, 3, change("a", 0));
    group.deliver_everything();
    cr_expect(group.is_accepted(3));
}

// Orders are confirmed by the same rule.
Test(confirmed_change, when_orders_are_not_in_force_yet_waits)
{
    watched_group group;
    group.is_silent = true;
    group.request(group.leader, 1, control::submit_orders{{5, bytes{'a'}}});
    group.deliver_everything();
    cr_expect_not(group.is_answered(1));
    group.advance(overdue_ticks);
    cr_expect(
        std::holds_alternative<catalog::order_outcome>(group.answer_to(1)));
}

// A new leader does not know yet which entry hosts there are.
Test(confirmed_change, when_the_leader_is_new_waits_for_entry_hosts_to_link)
{
    watched_group group;
    std::size_t const old = group.leader;
    group.isolated = {old};
    std::size_t const next = group.wait_for_leader();
    cr_assert_neq(next, old);
    group.request(next, 1, change("a", 0));
    group.deliver_everything();
    cr_expect_not(group.is_answered(1));
    group.advance(overdue_ticks);
    cr_expect(group.is_accepted(1));
}

Test(confirmed_change, when_refused_is_answered_at_once)
{
    watched_group group;
    group.is_silent = true;
    group.request(group.leader, 1, change("a", 7));
    group.deliver_everything();
    cr_expect(group.is_answered(1));
}
