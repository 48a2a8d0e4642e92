#include "bilberrylead/link/peer_node.hpp"

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/core/process_seed.hpp"
#include "bilberrylead/link/open_acceptor.hpp"
#include "bilberrylead/link/peer_node_settings.hpp"
#include "bilberrylead/link/peer_session.hpp"
#include "bilberrylead/link/redial_pause.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

namespace bilberrylead::link
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr part_log log{"link"};

} // namespace

/// The links and the timers that keep them up.
struct peer_node::implementation
{
    /// An address whose link is kept up.
    struct dialled_address
    {
        dialled_address(asio::io_context& io, redial_pause const& pauses)
            : pause(pauses), timer(io)
        {
        }

        tcp::endpoint address;
        redial_pause pause;
        asio::steady_timer timer;
        link_number link = 0;
        /// The link that is to take the place of a silent one; 0 if there is
        /// none.
        link_number replacement = 0;
        std::chrono::steady_clock::time_point replacement_began{};
        bool forgotten = false;
    };

    implementation(asio::io_context& io, peer_node_settings settings,
                   peer_callbacks callbacks)
        : io(io), settings(std::move(settings)),
          callbacks(std::move(callbacks)), acceptor(io),
          redial_seeds(process_seed(this->settings.self.id,
                                    this->settings.self.incarnation)
                           .of(random_sequence::redial))
    {
    }

    redial_pause make_redial_pause();
    void accept_next();
    link_number add(tcp::socket socket,
                    std::shared_ptr<dialled_address> const& from);
    void on_closed(link_number number,
                   std::shared_ptr<dialled_address> const& from);
    void dial_now(std::shared_ptr<dialled_address> const& target);
    void on_silent(link_number number,
                   std::shared_ptr<dialled_address> const& from);
    void close(link_number number);
    bool is_needed(link_number number, dialled_address const& from) const;

    asio::io_context& io;
    peer_node_settings settings;
    peer_callbacks callbacks;
    tcp::acceptor acceptor;
    /// Each dialled address has pauses of its own.
    policy::generator redial_seeds;
    link_number last_number = 0;
    std::map<link_number, std::shared_ptr<peer_session>> sessions;
    std::set<link_number> open_links;
    std::map<config::endpoint, std::shared_ptr<dialled_address>> dialled;
};

redial_pause peer_node::implementation::make_redial_pause()
{
    return {this->settings.redial_pause, this->settings.longest_redial_pause,
            this->redial_seeds.next()};
}

void peer_node::implementation::accept_next()
{
    this->acceptor.async_accept(
        [this](error_code const& error, tcp::socket socket) noexcept
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                link_number const number =
                    this->add(std::move(socket), nullptr);
                this->sessions.at(number)->start_accepted();
            }
            this->accept_next();
        });
}

link_number
peer_node::implementation::add(tcp::socket socket,
                               std::shared_ptr<dialled_address> const& from)
{
    ++this->last_number;
    link_number const number = this->last_number;
    peer_session::callbacks owner;
    owner.opened = [this, number, from](peer_identity const& identity)
    {
        if (from && !this->is_needed(number, *from))
        {
            this->close(number);
            return;
        }
        if (from)
        {
            from->pause.reset();
        }
        this->open_links.insert(number);
        this->callbacks.connected(number, identity);
        if (from && from->replacement == number)
        {
            link_number const silent = std::exchange(from->link, number);
            from->replacement = 0;
            this->close(silent);
        }
    };
    owner.received = [this, number](bytes message)
    {
        this->callbacks.received(number, std::move(message));
    };
    // Posted, so that a failed send() does not call its caller back.
    owner.closed = [this, number, from]()
    {
        asio::post(this->io,
                   [this, number, from]()
                   {
                       this->on_closed(number, from);
                   });
    };
    if (from)
    {
        owner.silent = [this, number, from]()
        {
            this->on_silent(number, from);
        };
    }
    this->sessions.emplace(
        number, std::make_shared<peer_session>(
                    std::move(socket), this->settings, std::move(owner)));
    return number;
}

void peer_node::implementation::on_closed(
    link_number number, std::shared_ptr<dialled_address> const& from)
{
    if (this->sessions.erase(number) == 0)
    {
        return;
    }
    if (this->open_links.erase(number) > 0)
    {
        this->callbacks.disconnected(number);
    }
    else if (this->callbacks.refused)
    {
        this->callbacks.refused();
    }
    if (!from || from->forgotten)
    {
        return;
    }
    if (from->replacement == number)
    {
        from->replacement = 0;
        return;
    }
    if (from->link != number)
    {
        return;
    }
    from->link = std::exchange(from->replacement, 0);
    if (from->link != 0)
    {
        return;
    }
    from->timer.expires_after(from->pause.next());
    from->timer.async_wait(
        [this, from](error_code const& error) noexcept
        {
            if (!error && !from->forgotten)
            {
                this->dial_now(from);
            }
        });
}

void peer_node::implementation::dial_now(
    std::shared_ptr<dialled_address> const& target)
{
    target->link = this->add(tcp::socket(this->io), target);
    this->sessions.at(target->link)->start_dialled(target->address);
}

void peer_node::implementation::on_silent(
    link_number number, std::shared_ptr<dialled_address> const& from)
{
    if (from->forgotten || from->link != number || from->replacement != 0)
    {
        return;
    }
    from->replacement_began = std::chrono::steady_clock::now();
    from->replacement = this->add(tcp::socket(this->io), from);
    this->sessions.at(from->replacement)->start_dialled(from->address);
}

/// False for a replacement of a link that was heard again since: that one was
/// only slow, and what is on its way would be lost with it.
bool peer_node::implementation::is_needed(link_number number,
                                          dialled_address const& from) const
{
    auto const replaced = this->sessions.find(from.link);
    return from.replacement != number || replaced == this->sessions.end() ||
           replaced->second->heard_at() < from.replacement_began;
}

void peer_node::implementation::close(link_number number)
{
    auto const found = this->sessions.find(number);
    if (found != this->sessions.end())
    {
        std::shared_ptr<peer_session> const session = found->second;
        session->close();
    }
}

peer_node::peer_node(asio::io_context& io, peer_node_settings settings,
                     peer_callbacks callbacks)
    : impl(std::make_unique<implementation>(io, std::move(settings),
                                            std::move(callbacks)))
{
}

peer_node::~peer_node()
{
    for (auto& [number, session] : this->impl->sessions)
    {
        session->detach();
    }
    for (auto& [address, target] : this->impl->dialled)
    {
        target->forgotten = true;
    }
}

absl::Status peer_node::listen(config::endpoint const& address)
{
    absl::Status opened = open_acceptor(this->impl->acceptor, address);
    if (!opened.ok())
    {
        return opened;
    }
    log.info("Peers are taken at {}:{}.", address.address, this->port());
    this->impl->accept_next();
    return absl::OkStatus();
}

std::uint16_t peer_node::port() const
{
    error_code error;
    tcp::endpoint const local = this->impl->acceptor.local_endpoint(error);
    return error ? std::uint16_t{0} : local.port();
}

void peer_node::dial(config::endpoint const& address)
{
    absl::StatusOr<tcp::endpoint> const where = to_tcp(address);
    if (!where.ok() || this->impl->dialled.contains(address))
    {
        return;
    }
    std::shared_ptr<implementation::dialled_address> const target =
        std::make_shared<implementation::dialled_address>(
            this->impl->io, this->impl->make_redial_pause());
    target->address = *where;
    this->impl->dialled.emplace(address, target);
    this->impl->dial_now(target);
}

void peer_node::forget(config::endpoint const& address)
{
    std::map<config::endpoint,
             std::shared_ptr<implementation::dialled_address>>::iterator const
        found = this->impl->dialled.find(address);
    if (found == this->impl->dialled.end())
    {
        return;
    }
    found->second->forgotten = true;
    found->second->timer.cancel();
    this->close(found->second->link);
    this->close(found->second->replacement);
    this->impl->dialled.erase(found);
}

void peer_node::send(link_number link, bytes message)
{
    auto const found = this->impl->sessions.find(link);
    if (found != this->impl->sessions.end())
    {
        std::shared_ptr<peer_session> const session = found->second;
        session->send(std::move(message));
    }
}

void peer_node::close(link_number link)
{
    this->impl->close(link);
}

} // namespace bilberrylead::link
