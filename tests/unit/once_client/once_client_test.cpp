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

/// A client of entry host e1 and the effects of its last event.
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

    void reduce_event(once_client_event const& event)
    {
        this->effects = this->client.reduce(event, this->now);
    }

    void advance_time(duration time)
    {
        this->now += time;
        this->reduce_event(client_tick{});
    }

    /// Opens a link to c1, the leader, and registers.
    void connect()
    {
        this->reduce_event(control_link_opened{first_link, host_id("c1")});
        this->reduce_event(
            leader_notice_received{first_link, {host_id("c1"), 0}});
        this->reduce_event(registration_reply_received{{{true, 100, 0}}});
    }

    template <class Effect>
    std::vector<Effect> effects_of() const
    {
        std::vector<Effect> result;
        for (once_client_effect const& effect : this->effects)
        {
            if (Effect const* const content = std::get_if<Effect>(&effect))
            {
                result.push_back(*content);
            }
        }
        return result;
    }

    std::vector<link::once_request> requests() const
    {
        std::vector<link::once_request> result;
        for (send_to_control const& sent : this->effects_of<send_to_control>())
        {
            if (link::once_request const* content =
                    std::get_if<link::once_request>(&sent.content))
            {
                result.push_back(*content);
            }
        }
        return result;
    }

    instant now{std::chrono::seconds(1)};
    client_type client;
    std::vector<once_client_effect> effects;
};

} // namespace

Test(once_client, claim_without_a_leader_is_refused_at_once)
{
    client_fixture f;
    f.reduce_event(claim_requested{7, some_key(), 1});
    cr_assert_eq(f.effects_of<claim_decided>().size(), 1U);
    auto const verdict = f.effects_of<claim_decided>()[0].verdict;
    cr_assert(std::holds_alternative<once::claim_refused>(verdict));
    cr_assert(std::get<once::claim_refused>(verdict).retry_after > duration{});
}

Test(once_client, registration_when_a_leader_is_linked_comes_first)
{
    client_fixture f;
    f.reduce_event(control_link_opened{first_link, host_id("c1")});
    f.reduce_event(leader_notice_received{first_link, {host_id("c1"), 0}});
    cr_assert_eq(f.effects_of<send_to_control>().size(), 1U);
    cr_assert_not(f.client.reachable());
    f.reduce_event(registration_reply_received{{{true, 100, 0}}});
    cr_assert(f.client.reachable());
}

// The wall clock was set back between two incarnations of the process, so
// that the new number is smaller than the previous one. The client must not
// continue with it, but choose a larger one and register again.
Test(once_client, incarnation_when_superseded_is_raised)
{
    client_fixture f;
    f.reduce_event(control_link_opened{first_link, host_id("c1")});
    f.reduce_event(leader_notice_received{first_link, {host_id("c1"), 0}});
    f.reduce_event(registration_reply_received{{{false, 500, 0}}});
    std::vector<send_to_control> const sent = f.effects_of<send_to_control>();
    cr_assert_eq(sent.size(), 1U);
    cr_assert_eq(
        std::get<link::registration_request>(sent[0].content).incarnation,
        501U);
}

// The leader fails with a claim in flight. The client sends the same claim
// with the same request id to the next leader. The records decide by that
// id: a claim that was already granted is granted again to the same request.
Test(once_client, claim_when_the_leader_changes_is_sent_again_unchanged)
{
    client_fixture f;
    f.connect();
    f.reduce_event(claim_requested{7, some_key(), 1});
    once::claim const first = std::get<once::claim>(f.requests().at(0).command);
    f.reduce_event(control_link_opened{second_link, host_id("c2")});
    f.reduce_event(control_link_closed{first_link});
    f.reduce_event(leader_notice_received{second_link, {host_id("c2"), 0}});
    cr_assert_eq(f.requests().size(), 1U);
    cr_assert(std::get<once::claim>(f.requests()[0].command) == first);
    cr_assert_eq(f.effects_of<send_to_control>()[0].link, second_link);
}

// No verdict arrives in time and the caller receives "not run". The claim
// may still be granted if its message arrives late, and would then block the
// caller's own repeat. The client must send a release with the same request
// id after it.
Test(once_client, claim_when_abandoned_is_released)
{
    client_fixture f;
    f.connect();
    f.reduce_event(claim_requested{7, some_key(), 1});
    f.advance_time(std::chrono::milliseconds(1100));
    cr_assert_eq(f.effects_of<claim_decided>().size(), 1U);
    std::vector<link::once_request> const sent = f.requests();
    cr_assert_eq(sent.size(), 1U);
    once::release const* const release =
        std::get_if<once::release>(&sent[0].command);
    cr_assert_not_null(release);
    cr_assert(release->request == f.client.id_of(7));

    // A late verdict of the abandoned claim is ignored.
    f.reduce_event(claim_reply_received{{1, once::claim_granted{}}});
    cr_assert(f.effects_of<claim_decided>().empty());
}

Test(once_client, report_without_an_answer_is_sent_until_it_is_recorded)
{
    client_fixture f;
    f.connect();
    f.reduce_event(completion_reported{7, some_key(), {}});
    std::uint64_t const number = f.requests().at(0).number;
    f.advance_time(std::chrono::milliseconds(500));
    cr_assert_eq(f.requests().size(), 1U);
    cr_assert_eq(f.requests()[0].number, number);
    f.reduce_event(settle_reply_received{{number, once::settle_result::done}});
    cr_assert_eq(f.effects_of<completion_recorded>().size(), 1U);
    f.advance_time(std::chrono::milliseconds(500));
    cr_assert(f.requests().empty());
}

// A host that is losing its leadership names itself in its refusal.
// Resending at once would exchange commands and refusals without end.
Test(once_client, refusal_by_the_named_leader_is_retried_later)
{
    client_fixture f;
    f.connect();
    f.reduce_event(claim_requested{7, some_key(), 1});
    std::uint64_t const number = f.requests().at(0).number;
    f.reduce_event(leader_notice_received{first_link, {host_id("c1"), number}});
    cr_assert(f.requests().empty());
    f.advance_time(std::chrono::milliseconds(20));
    cr_assert_eq(f.requests().size(), 1U);
}
