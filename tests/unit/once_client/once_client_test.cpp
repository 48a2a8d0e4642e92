#include "bilberrylead/once_client/once_client.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::once_client;
using client_type = bilberrylead::once_client::once_client;

namespace
{

constexpr link::link_number first_link = 1;
constexpr link::link_number second_link = 2;

once::claim_key some_key()
{
    return {service_id("grants"), caller_id("publisher"), "key-1"};
}

/// A client of entry host e1 and what it wanted done.
struct client_fixture
{
    client_fixture() : client(settings())
    {
    }

    static once_client_settings settings()
    {
        once_client_settings result;
        result.self = host_id("e1");
        result.incarnation = 100;
        return result;
    }

    void give(once_client_event const& what)
    {
        this->wanted = this->client.reduce(what, this->now);
    }

    void pass(duration time)
    {
        this->now += time;
        this->give(client_tick{});
    }

    /// Links to c1, which leads, and registers.
    void connect()
    {
        this->give(control_link_opened{first_link, host_id("c1")});
        this->give(leader_named{first_link, {host_id("c1"), 0}});
        this->give(registration_answered{{{true, 100, 0}}});
    }

    template <class Effect>
    std::vector<Effect> all() const
    {
        std::vector<Effect> result;
        for (once_client_effect const& effect : this->wanted)
        {
            if (Effect const* const held = std::get_if<Effect>(&effect))
            {
                result.push_back(*held);
            }
        }
        return result;
    }

    std::vector<link::once_request> requests() const
    {
        std::vector<link::once_request> result;
        for (send_to_control const& sent : this->all<send_to_control>())
        {
            if (link::once_request const* held =
                    std::get_if<link::once_request>(&sent.content))
            {
                result.push_back(*held);
            }
        }
        return result;
    }

    instant now{std::chrono::seconds(1)};
    client_type client;
    std::vector<once_client_effect> wanted;
};

} // namespace

Test(once_client, claim_without_a_leader_is_refused_at_once)
{
    client_fixture f;
    f.give(claim_wanted{7, some_key(), 1});
    cr_assert_eq(f.all<claim_decided>().size(), 1U);
    auto const verdict = f.all<claim_decided>()[0].verdict;
    cr_assert(std::holds_alternative<once::claim_refused>(verdict));
    cr_assert(std::get<once::claim_refused>(verdict).retry_after > duration{});
}

Test(once_client, registration_when_a_leader_is_linked_comes_first)
{
    client_fixture f;
    f.give(control_link_opened{first_link, host_id("c1")});
    f.give(leader_named{first_link, {host_id("c1"), 0}});
    cr_assert_eq(f.all<send_to_control>().size(), 1U);
    cr_assert_not(f.client.reachable());
    f.give(registration_answered{{{true, 100, 0}}});
    cr_assert(f.client.reachable());
}

// The host's wall clock went back between two lives of the process, so that
// its new incarnation is smaller than its old one. It must not run on as
// its former self: it takes a larger one and registers again.
Test(once_client, incarnation_when_superseded_is_raised)
{
    client_fixture f;
    f.give(control_link_opened{first_link, host_id("c1")});
    f.give(leader_named{first_link, {host_id("c1"), 0}});
    f.give(registration_answered{{{false, 500, 0}}});
    std::vector<send_to_control> const sent = f.all<send_to_control>();
    cr_assert_eq(sent.size(), 1U);
    cr_assert_eq(
        std::get<link::registration_request>(sent[0].content).incarnation,
        501U);
}

// The leader dies with a claim on its way. The client sends the same claim,
// same request id, to the next leader; the records decide by that id, so
// that a claim which was granted already is granted again, not doubled.
Test(once_client, claim_when_the_leader_changes_is_sent_again_unchanged)
{
    client_fixture f;
    f.connect();
    f.give(claim_wanted{7, some_key(), 1});
    once::claim const first = std::get<once::claim>(f.requests().at(0).command);
    f.give(control_link_opened{second_link, host_id("c2")});
    f.give(control_link_closed{first_link});
    f.give(leader_named{second_link, {host_id("c2"), 0}});
    cr_assert_eq(f.requests().size(), 1U);
    cr_assert(std::get<once::claim>(f.requests()[0].command) == first);
    cr_assert_eq(f.all<send_to_control>()[0].link, second_link);
}

// No verdict comes in time: the caller hears "not run". The claim may still
// be granted when its message arrives late, and would then block the
// caller's own repeat. A release with the same request id follows it.
Test(once_client, claim_when_given_up_is_released)
{
    client_fixture f;
    f.connect();
    f.give(claim_wanted{7, some_key(), 1});
    f.pass(std::chrono::milliseconds(1100));
    cr_assert_eq(f.all<claim_decided>().size(), 1U);
    std::vector<link::once_request> const sent = f.requests();
    cr_assert_eq(sent.size(), 1U);
    once::release const* const given_up =
        std::get_if<once::release>(&sent[0].command);
    cr_assert_not_null(given_up);
    cr_assert(given_up->request == f.client.id_of(7));

    // Its late verdict is nobody's any more.
    f.give(verdict_received{{1, once::claim_granted{}}});
    cr_assert(f.all<claim_decided>().empty());
}

Test(once_client, report_without_an_answer_is_sent_until_it_is_recorded)
{
    client_fixture f;
    f.connect();
    f.give(completion_wanted{7, some_key(), {}});
    std::uint64_t const number = f.requests().at(0).number;
    f.pass(std::chrono::milliseconds(500));
    cr_assert_eq(f.requests().size(), 1U);
    cr_assert_eq(f.requests()[0].number, number);
    f.give(settlement_received{{number, once::settle_result::done}});
    cr_assert_eq(f.all<completion_recorded>().size(), 1U);
    f.pass(std::chrono::milliseconds(500));
    cr_assert(f.requests().empty());
}

// A host that has just lost its office names itself in its refusal. Asking
// it again at once would bounce between the two without end.
Test(once_client, refusal_by_the_named_leader_is_asked_again_later)
{
    client_fixture f;
    f.connect();
    f.give(claim_wanted{7, some_key(), 1});
    std::uint64_t const number = f.requests().at(0).number;
    f.give(leader_named{first_link, {host_id("c1"), number}});
    cr_assert(f.requests().empty());
    f.pass(std::chrono::milliseconds(20));
    cr_assert_eq(f.requests().size(), 1U);
}
