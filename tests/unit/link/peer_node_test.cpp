#include "bilberrylead/link/peer_node.hpp"
#include "bilberrylead/link/peer_node_settings.hpp"
#include "tests/unit/link/holding_proxy.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace bilberrylead;

namespace
{

constexpr std::chrono::seconds patience{20};

/// One process's side: a node and what it was told.
struct peer
{
    peer(boost::asio::io_context& io, std::string const& name,
         std::string const& key)
        : node(io, settings(name, key), callbacks())
    {
    }

    static link::peer_node_settings settings(std::string const& name,
                                             std::string const& key)
    {
        link::peer_node_settings result;
        result.self = {host_id(name), link::peer_role::control, 7};
        result.key = key;
        return result;
    }

    link::peer_callbacks callbacks()
    {
        return {[this](link::link_number number,
                       link::peer_identity const& identity)
                {
                    this->open_link = number;
                    this->other = identity;
                },
                [this](link::link_number, bytes message)
                {
                    this->last_message = std::move(message);
                },
                [this](link::link_number)
                {
                    this->open_link.reset();
                    ++this->lost_links;
                },
                [this]()
                {
                    ++this->refused_links;
                }};
    }

    std::optional<link::link_number> open_link;
    std::optional<link::peer_identity> other;
    std::optional<bytes> last_message;
    int lost_links = 0;
    int refused_links = 0;
    link::peer_node node;
};

struct two_peers
{
    explicit two_peers(std::string const& other_key = "the shared key")
        : called(io, "called", "the shared key"),
          calling(io, "calling", other_key)
    {
        cr_assert(this->called.node.listen({"127.0.0.1", 0}).ok());
        this->calling.node.dial({"127.0.0.1", this->called.node.port()});
    }

    template <class Condition>
    bool run_until(Condition condition)
    {
        std::chrono::steady_clock::time_point const end =
            std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            this->io.run_one_for(std::chrono::milliseconds(50));
        }
        return condition();
    }

    boost::asio::io_context io;
    peer called;
    peer calling;
};

} // namespace

Test(peer_node, two_peers_with_one_key_when_linked_know_each_other)
{
    two_peers peers;
    cr_assert(peers.run_until(
        [&]()
        {
            return peers.called.open_link && peers.calling.open_link;
        }));
    cr_assert_eq(peers.called.other->id.text(), "calling");
    cr_assert_eq(peers.calling.other->id.text(), "called");
    cr_assert_eq(peers.calling.other->incarnation, 7U);
}

Test(peer_node, message_when_sent_arrives_whole)
{
    two_peers peers;
    cr_assert(peers.run_until(
        [&]()
        {
            return peers.called.open_link && peers.calling.open_link;
        }));
    bytes const message(1000000, 0x5a);
    peers.calling.node.send(*peers.calling.open_link, message);
    cr_assert(peers.run_until(
        [&]()
        {
            return peers.called.last_message.has_value();
        }));
    cr_assert(*peers.called.last_message == message);
}

// A host with another system's key reaches the peer port. It must learn
// nothing and be told to nobody: neither side ever reports a link.
Test(peer_node, peer_with_another_key_when_dialling_is_turned_away)
{
    two_peers peers("some other key");
    cr_assert(peers.run_until(
        [&]()
        {
            return peers.calling.refused_links > 0;
        }));
    cr_assert_eq(peers.calling.lost_links, 0);
    cr_assert_not(peers.called.other.has_value());
    cr_assert_not(peers.calling.other.has_value());
}

// A program that speaks something else reaches the peer port. The bytes are
// dropped, and the next real peer is served.
Test(peer_node, stranger_when_it_sends_garbage_harms_no_peer)
{
    two_peers peers;
    boost::asio::ip::tcp::socket stranger(peers.io);
    stranger.connect(
        {boost::asio::ip::make_address("127.0.0.1"), peers.called.node.port()});
    std::string_view const garbage = "\x16\x03\x01 not a peer\r\n\r\n";
    boost::asio::write(stranger, boost::asio::buffer(garbage));
    cr_assert(peers.run_until(
        [&]()
        {
            return peers.called.refused_links > 0;
        }));
    cr_assert(peers.run_until(
        [&]()
        {
            return peers.called.open_link && peers.calling.open_link;
        }));
}

// The called process dies and comes back at the same address. The caller's
// node dials again by itself; nobody has to tell it.
Test(peer_node, lost_link_when_the_peer_returns_is_dialled_again)
{
    two_peers peers;
    cr_assert(peers.run_until(
        [&]()
        {
            return peers.called.open_link && peers.calling.open_link;
        }));
    peers.called.node.close(*peers.called.open_link);
    cr_assert(peers.run_until(
        [&]()
        {
            return peers.calling.lost_links == 1;
        }));
    cr_assert(peers.run_until(
        [&]()
        {
            return peers.called.open_link && peers.calling.open_link;
        }));
}

// A host dials a peer that does not run yet. Its owner never heard of the
// link, so that it must not hear of its end either: entry hosts looked up a
// link that was not there, and died before their control hosts were up.
Test(peer_node, link_that_never_opened_when_it_ends_is_no_lost_link)
{
    boost::asio::io_context io;
    peer alone(io, "alone", "the shared key");
    alone.node.dial({"127.0.0.1", 1});
    while (alone.refused_links < 2)
    {
        io.run_one();
    }
    cr_assert_eq(alone.lost_links, 0);
}

// A host lost power while another one starts: what is sent to it vanishes
// without an answer. If the attempt waited for the system's own time-outs,
// the starting host would serve nobody for a second after the other is back.
// A listener whose queue is full is silent the same way.
Test(peer_node, peer_that_says_nothing_is_given_up_and_dialled_again)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context io;
    tcp::acceptor silent(io, tcp::endpoint(tcp::v4(), 0));
    silent.listen(0);
    std::vector<tcp::socket> queued;
    queued.reserve(4);
    int opened = 0;
    for (int each = 0; each < 4; ++each)
    {
        queued.emplace_back(io).async_connect(
            tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                          silent.local_endpoint().port()),
            [&opened](boost::system::error_code const& error)
            {
                opened += error ? 0 : 1;
            });
    }
    while (opened == 0)
    {
        io.run_one();
    }
    cr_assert_lt(opened, 4, "the queue is not full");
    link::peer_node_settings settings = peer::settings("calling", "a key");
    settings.connect_timeout = std::chrono::milliseconds(50);
    settings.handshake_timeout = std::chrono::hours(1);
    int given_up = 0;
    link::peer_node calling(
        io, settings,
        {[](link::link_number, link::peer_identity const&) {},
         [](link::link_number, bytes const&) {}, [](link::link_number) {},
         [&given_up]()
         {
             ++given_up;
         }});
    calling.dial({"127.0.0.1", silent.local_endpoint().port()});
    std::chrono::steady_clock::time_point const end =
        std::chrono::steady_clock::now() + patience;
    while (given_up < 2 && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(std::chrono::milliseconds(50));
    }
    cr_expect_geq(given_up, 2);
}

namespace
{

/// Two peers that are linked through a proxy, with time-outs that a test can
/// wait for.
struct peers_behind_a_proxy
{
    peers_behind_a_proxy()
        : called(io, settings("called"), told(called_state)),
          calling(io, settings("calling"), told(calling_state))
    {
        cr_assert(this->called.listen({"127.0.0.1", 0}).ok());
        this->proxy.emplace(this->io, this->called.port());
        this->calling.dial({"127.0.0.1", this->proxy->port()});
        this->run_until(
            [this]()
            {
                return !this->called_state.open.empty() &&
                       !this->calling_state.open.empty();
            });
    }

    struct state
    {
        std::vector<link::link_number> open;
        std::vector<bytes> messages;
        int opened = 0;
        int lost = 0;
    };

    static link::peer_node_settings settings(std::string const& name)
    {
        link::peer_node_settings result = peer::settings(name, "key");
        result.silence_timeout = std::chrono::milliseconds(200);
        result.idle_timeout = std::chrono::milliseconds(2000);

        return result;
    }

    static link::peer_callbacks told(state& to)
    {
        return {[&to](link::link_number number, link::peer_identity const&)
                {
                    to.open.push_back(number);
                    ++to.opened;
                },
                [&to](link::link_number, bytes message)
                {
                    to.messages.push_back(std::move(message));
                },
                [&to](link::link_number number)
                {
                    std::erase(to.open, number);
                    ++to.lost;
                },
                {}};
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        std::chrono::steady_clock::time_point const end =
            std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            this->io.run_one_for(std::chrono::milliseconds(10));
        }
        cr_assert(condition());
    }

    void run_for(std::chrono::milliseconds time)
    {
        this->io.run_for(time);
        this->io.restart();
    }

    boost::asio::io_context io;
    state called_state;
    state calling_state;
    link::peer_node called;
    link::peer_node calling;
    std::optional<tests::holding_proxy> proxy;
};

} // namespace

// Guards against news that is late because its link is closed while it waits
// behind other traffic on a full access link: nothing is lost there, and a new
// link would wait on the same one.
Test(peer_node, link_on_a_full_access_link_stays_open)
{
    peers_behind_a_proxy peers;
    peers.proxy->hold(true);
    peers.called.send(peers.called_state.open.front(), bytes{1});
    peers.run_for(std::chrono::milliseconds(800));
    peers.proxy->release();
    peers.run_until(
        [&peers]()
        {
            return !peers.calling_state.messages.empty();
        });
    peers.run_for(std::chrono::milliseconds(300));
    cr_expect_eq(peers.calling_state.lost, 0);
    cr_expect_eq(peers.calling_state.opened, 1);
    cr_expect_eq(peers.called_state.open.size(), 1U);
}

// Guards against a connection that went silent for good while new ones work.
Test(peer_node, silent_link_is_replaced_before_it_is_closed)
{
    peers_behind_a_proxy peers;
    peers.proxy->hold(false);
    peers.run_until(
        [&peers]()
        {
            return peers.calling_state.opened == 2;
        });
    cr_expect_eq(peers.calling_state.lost, 0, "the new link opens first");
    peers.run_until(
        [&peers]()
        {
            return peers.calling_state.lost == 1 &&
                   peers.called_state.open.size() == 1;
        });
    peers.called.send(peers.called_state.open.front(), bytes{1});
    peers.run_until(
        [&peers]()
        {
            return !peers.calling_state.messages.empty();
        });
}

// Guards against a link to a peer that is gone and that is kept for ever.
Test(peer_node, link_to_a_peer_that_is_gone_is_closed)
{
    peers_behind_a_proxy peers;
    peers.proxy->hold(true);
    peers.run_until(
        [&peers]()
        {
            return peers.calling_state.lost == 1 &&
                   peers.called_state.lost == 1;
        });
}
