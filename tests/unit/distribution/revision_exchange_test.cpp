#include "bilberrylead/distribution/revision_exchange.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::distribution;

namespace
{

shared_document document_of(revision number)
{
    return std::make_shared<bytes const>(bytes(3, std::uint8_t(number)));
}

/// Several exchanges whose messages are delivered when the test calls
/// deliver_all().
struct exchange_fixture
{
    struct node
    {
        revision_exchange exchange;
        link::peer_identity identity;
        std::vector<revision> installed;
    };

    struct wire
    {
        std::size_t ends[2];
        bool cut = false;
    };

    struct envelope
    {
        std::size_t wire = 0;
        std::size_t to = 0;
        link::message content;
    };

    std::size_t add(std::string const& name, bool is_source)
    {
        exchange_settings settings;
        settings.is_source = is_source;
        link::peer_role const role =
            is_source ? link::peer_role::control : link::peer_role::entry;
        this->nodes.push_back(
            {revision_exchange(settings), {host_id(name), role, 1}, {}});
        return this->nodes.size() - 1;
    }

    std::size_t connect(std::size_t left, std::size_t right)
    {
        this->wires.push_back({{left, right}});
        std::size_t const number = this->wires.size() - 1;
        this->dispatch(left, link_opened{number, this->nodes[right].identity});
        this->dispatch(right, link_opened{number, this->nodes[left].identity});
        return number;
    }

    void disconnect(std::size_t number)
    {
        this->wires[number].cut = true;
        this->dispatch(this->wires[number].ends[0], link_closed{number});
        this->dispatch(this->wires[number].ends[1], link_closed{number});
    }

    void dispatch(std::size_t to, exchange_event const& event)
    {
        for (exchange_effect& effect :
             this->nodes[to].exchange.reduce(event, this->now))
        {
            if (send_message* const sent = std::get_if<send_message>(&effect))
            {
                wire const& over = this->wires[sent->link];
                std::size_t const other =
                    over.ends[0] == to ? over.ends[1] : over.ends[0];
                this->in_flight.push_back(
                    {sent->link, other, std::move(sent->content)});
            }
            else
            {
                this->nodes[to].installed.push_back(
                    std::get<install_revision>(effect).number);
            }
        }
    }

    void deliver_all()
    {
        while (!this->in_flight.empty())
        {
            envelope const next = std::move(this->in_flight.front());
            this->in_flight.pop_front();
            if (!this->wires[next.wire].cut)
            {
                this->deliver(next);
            }
        }
    }

    void deliver(envelope const& next)
    {
        if (link::subscription const* content =
                std::get_if<link::subscription>(&next.content))
        {
            this->dispatch(next.to, subscription_received{next.wire, *content});
        }
        else if (link::revision_announcement const* content =
                     std::get_if<link::revision_announcement>(&next.content))
        {
            this->dispatch(next.to, announcement_received{next.wire, *content});
        }
        else if (link::configuration_update const* content =
                     std::get_if<link::configuration_update>(&next.content))
        {
            ++this->updates_delivered;
            this->dispatch(next.to, update_received{next.wire, *content});
        }
    }

    void advance(duration time)
    {
        this->now += time;
        for (std::size_t number = 0; number < this->nodes.size(); ++number)
        {
            this->dispatch(number, exchange_tick{});
        }
        this->deliver_all();
    }

    void publish(std::size_t source, revision number)
    {
        this->dispatch(source, revision_published{number, document_of(number)});
    }

    instant now{};
    std::vector<node> nodes;
    std::vector<wire> wires;
    std::deque<envelope> in_flight;
    std::size_t updates_delivered = 0;
};

} // namespace

Test(revision_exchange, entry_host_receives_the_current_revision_on_connect)
{
    exchange_fixture f;
    std::size_t const source = f.add("c1", true);
    std::size_t const entry = f.add("e1", false);
    f.publish(source, 4);
    f.connect(source, entry);
    f.deliver_all();
    cr_assert_eq(f.nodes[entry].exchange.current_revision(), 4U);
    cr_assert_eq(f.nodes[source].exchange.count_acknowledged(4), 1U);
}

Test(revision_exchange, content_held_by_three_sources_and_a_peer_is_sent_once)
{
    exchange_fixture f;
    std::size_t const first = f.add("c1", true);
    std::size_t const second = f.add("c2", true);
    std::size_t const third = f.add("c3", true);
    std::size_t const entry = f.add("e1", false);
    std::size_t const peer = f.add("e2", false);
    for (std::size_t const source : {first, second, third})
    {
        f.connect(source, entry);
        f.connect(source, peer);
    }
    f.connect(entry, peer);
    f.deliver_all();
    for (std::size_t const source : {first, second, third})
    {
        f.publish(source, 1);
    }
    f.deliver_all();
    cr_assert_eq(f.nodes[entry].exchange.current_revision(), 1U);
    cr_assert_eq(f.nodes[peer].exchange.current_revision(), 1U);
    cr_assert_eq(f.updates_delivered, 2U);
}

// A zone is cut off from every control host, and one of its entry hosts still
// runs with revision 9. A host that restarts in the zone holds no revision and
// must get this one instead of waiting for a control host.
Test(revision_exchange, restarted_host_in_an_isolated_zone_syncs_from_a_peer)
{
    exchange_fixture f;
    std::size_t const source = f.add("c1", true);
    std::size_t const peer = f.add("e1", false);
    std::size_t const uplink = f.connect(source, peer);
    f.deliver_all();
    f.publish(source, 9);
    f.deliver_all();
    f.disconnect(uplink);

    std::size_t const restarted = f.add("e2", false);
    f.connect(peer, restarted);
    f.deliver_all();
    cr_assert_eq(f.nodes[restarted].exchange.current_revision(), 9U);
}

// A peer is frozen with revision 3 and resumes when revision 7 is in force.
// The host with revision 7 must keep it whatever the peer sends: an older
// revision would undo an accepted change.
Test(revision_exchange, older_revision_received_late_is_ignored)
{
    exchange_fixture f;
    std::size_t const source = f.add("c1", true);
    std::size_t const entry = f.add("e1", false);
    std::size_t const link = f.connect(source, entry);
    f.publish(source, 7);
    f.deliver_all();
    for (revision const late : {3U, 7U, 6U})
    {
        f.dispatch(entry, update_received{link, {late, 0, {}}});
    }
    cr_assert_eq(f.nodes[entry].exchange.current_revision(), 7U);
    cr_assert_eq(f.nodes[entry].installed.size(), 1U);
}

// The pushing link delivers nothing but has not closed yet, so that the update
// never arrives. Another control host announces the revision, and the entry
// host fetches it there after fetch_after.
Test(revision_exchange, announced_revision_when_not_pushed_is_fetched)
{
    exchange_fixture f;
    std::size_t const unresponsive = f.add("c1", true);
    std::size_t const other = f.add("c2", true);
    std::size_t const entry = f.add("e1", false);
    std::size_t const unresponsive_link = f.connect(unresponsive, entry);
    f.connect(other, entry);
    f.deliver_all();
    f.wires[unresponsive_link].cut = true;
    f.publish(unresponsive, 5);
    f.publish(other, 5);
    f.deliver_all();
    cr_assert_eq(f.nodes[entry].exchange.current_revision(), 0U);
    f.advance(std::chrono::milliseconds(400));
    cr_assert_eq(f.nodes[entry].exchange.current_revision(), 5U);
}

/// An entry host that receives pushes from a control host which is cut off from
/// the others, and announcements from two that are not. All hold revision 1.
struct cut_off_push_fixture : exchange_fixture
{
    cut_off_push_fixture()
    {
        this->connect(this->cut_off, this->entry);
        this->deliver_all();
        this->first_link = this->connect(this->first, this->entry);
        this->connect(this->second, this->entry);
        this->deliver_all();
        for (std::size_t const source :
             {this->cut_off, this->first, this->second})
        {
            this->publish(source, 1);
        }
        this->deliver_all();
    }

    void announce_next()
    {
        this->publish(this->first, 2);
        this->publish(this->second, 2);
        this->deliver_all();
    }

    revision held() const
    {
        return this->nodes[this->entry].exchange.current_revision();
    }

    std::size_t const cut_off = this->add("c1", true);
    std::size_t const first = this->add("c2", true);
    std::size_t const second = this->add("c3", true);
    std::size_t const entry = this->add("e1", false);
    std::size_t first_link = 0;
};

// Guards against an old revision that stays in force although a linked control
// host holds a newer one: the host that announced it first is gone before it is
// asked.
Test(revision_exchange,
     announced_revision_when_the_announcer_is_gone_is_fetched_from_another)
{
    cut_off_push_fixture f;
    f.announce_next();
    f.disconnect(f.first_link);
    for (int step = 0; step < 4; ++step)
    {
        f.advance(exchange_settings{}.fetch_after / 2);
    }
    cr_assert_eq(f.held(), 2U);
}

// The same where the host that announced it first falls silent with its link
// open, and its link closes later.
Test(revision_exchange,
     announced_revision_when_the_announcer_is_silent_is_fetched_from_another)
{
    cut_off_push_fixture f;
    f.announce_next();
    f.wires[f.first_link].cut = true;
    for (int step = 0; step < 6; ++step)
    {
        f.advance(exchange_settings{}.fetch_after / 2);
    }
    cr_expect_eq(f.held(), 2U);
    f.disconnect(f.first_link);
    f.publish(f.second, 3);
    f.deliver_all();
    f.advance(exchange_settings{}.fetch_after);
    cr_assert_eq(f.held(), 3U);
}

// Guards against documents that are sent once more by every control host: those
// that hold what has arrived meanwhile are not asked.
Test(revision_exchange, announced_revision_once_received_is_not_fetched_again)
{
    cut_off_push_fixture f;
    f.announce_next();
    std::size_t const before = f.updates_delivered;
    for (int step = 0; step < 20; ++step)
    {
        f.advance(exchange_settings{}.fetch_after / 2);
    }
    cr_expect_eq(f.held(), 2U);
    cr_assert_eq(f.updates_delivered, before + 1);
}

// The pushing link closes while an update is in flight. Another pushing link
// is chosen at once and delivers what is missing, without waiting for a timer.
Test(revision_exchange, closed_push_link_is_replaced_immediately)
{
    exchange_fixture f;
    std::size_t const first = f.add("c1", true);
    std::size_t const second = f.add("c2", true);
    std::size_t const entry = f.add("e1", false);
    std::size_t const chosen = f.connect(first, entry);
    f.connect(second, entry);
    f.deliver_all();
    f.publish(first, 2);
    f.publish(second, 2);
    f.disconnect(chosen);
    f.deliver_all();
    cr_assert_eq(f.nodes[entry].exchange.current_revision(), 2U);
}

// A host misses five hundred changes. It gets the newest one in a single
// update and none of those between.
Test(revision_exchange, reconnected_host_receives_only_the_newest_revision)
{
    exchange_fixture f;
    std::size_t const source = f.add("c1", true);
    std::size_t const entry = f.add("e1", false);
    f.publish(source, 1);
    std::size_t const link = f.connect(source, entry);
    f.deliver_all();
    f.disconnect(link);
    for (revision number = 2; number <= 500; ++number)
    {
        f.publish(source, number);
    }
    f.connect(source, entry);
    f.deliver_all();
    cr_assert_eq(f.nodes[entry].exchange.current_revision(), 500U);
    cr_assert_eq(f.nodes[entry].installed.size(), 2U);
}
