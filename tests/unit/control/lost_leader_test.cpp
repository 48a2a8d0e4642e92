#include "bilberrylead/core/error.hpp"
#include "tests/unit/control/control_group.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

using namespace bilberrylead;
using namespace bilberrylead::tests;

namespace
{

/// Ticks after which a host that hears from no leader has forgotten it: two
/// election timeouts.
constexpr int forgetting_ticks = 22;

void without_planner(control::control_reducer_settings& settings,
                     control::control_started&)
{
    settings.planner.reset();
}

/// A group in which one host has given up its vote. An entry host is linked to
/// every control host.
struct group_with_learner : control_group
{
    group_with_learner() : control_group(std::nullopt, without_planner)
    {
        for (std::size_t index = 0; index < hosts; ++index)
        {
            this->connect(index, entry_link, host_id("e1"),
                          link::peer_role::entry);
        }
        this->leader = this->wait_for_leader();
        this->learner = (this->leader + 1) % hosts;
        this->change(1, agreement::membership_action::remove);
        this->change(2, agreement::membership_action::add_learner);
        cr_assert(this->nodes.at(this->learner)->log().role() ==
                  agreement::role::learner);
        cr_assert_eq(this->nodes.at(this->learner)->log().leader(),
                     control_host(this->leader));
    }

    void change(std::uint64_t number, agreement::membership_action action)
    {
        agreement::membership_change_requested wanted;
        wanted.action = action;
        wanted.host = control_host(this->learner);
        wanted.incarnation = 1;
        this->request(this->leader, number, control::change_membership{wanted});
        this->advance(10);
        cr_assert(std::holds_alternative<control::done_reply>(
            this->answer_to(number)));
    }

    /// The leader that the learner last named to its entry host.
    host_id named_leader() const
    {
        host_id named;
        for (link::message const& sent :
             this->sent_to_entry_hosts.at({this->learner, entry_link}))
        {
            if (link::leader_notice const* const notice =
                    std::get_if<link::leader_notice>(&sent))
            {
                named = notice->leader;
            }
        }
        return named;
    }

    std::size_t leader = 0;
    std::size_t learner = 0;
};

} // namespace

// Guards against operators that are redirected to a host that is gone, by a
// learner that was cut off from the leader.
Test(lost_leader, operator_at_a_learner_without_a_leader_is_told_so)
{
    group_with_learner group;
    group.isolated.insert(group.learner);
    group.advance(forgetting_ticks);
    group.request(group.learner, 10, control::read_orders{});
    group.request(group.learner, 11, control::read_configuration{});
    group.request(group.learner, 12, control::submit_orders{{5, bytes{'a'}}});
    group.request(group.learner, 13, control::hand_over{});
    for (std::uint64_t number = 10; number <= 13; ++number)
    {
        absl::Status const* const refused =
            std::get_if<absl::Status>(&group.answer_to(number));
        cr_assert_not_null(refused);
        cr_expect(kind_of(*refused) == error_kind::no_quorum, "%s",
                  std::string(refused->message()).c_str());
    }
}

// Guards against entry hosts that do not look for a leader, because a learner
// goes on naming one that is gone.
Test(lost_leader, entry_host_of_a_learner_without_a_leader_is_told_so)
{
    group_with_learner group;
    cr_assert_eq(group.named_leader(), control_host(group.leader));
    group.isolated.insert(group.learner);
    group.advance(forgetting_ticks);
    cr_expect(group.named_leader().empty());

    group.isolated.clear();
    group.advance(forgetting_ticks);
    cr_expect_eq(group.named_leader(), control_host(group.leader));
}
