#include "bilberrylead/http/upstream_probe.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>

#include <memory>
#include <utility>

namespace bilberrylead::http
{

namespace
{

struct open_probe
{
    explicit open_probe(executor const& where) : socket(where), timer(where)
    {
    }

    void end(entry::probe_outcome outcome)
    {
        if (this->done)
        {
            this->timer.cancel();
            error_code ignored;
            this->socket.close(ignored);
            std::exchange(this->done, nullptr)(outcome);
        }
    }

    tcp_socket socket;
    wait_timer timer;
    probe_function done;
};

} // namespace

entry::probe_outcome outcome_of(error_code const& error)
{
    // Only a connection that a listener took can be reset: the listener was
    // closed with it, and the next probe tells.
    if (!error || error == asio::error::connection_reset)
    {
        return entry::probe_outcome::accepted;
    }
    return error == asio::error::connection_refused
               ? entry::probe_outcome::refused
               : entry::probe_outcome::no_response;
}

void probe_upstream(executor const& where, config::endpoint const& upstream,
                    duration timeout, probe_function done)
{
    std::shared_ptr<open_probe> const probe =
        std::make_shared<open_probe>(where);
    probe->done = std::move(done);
    probe->timer.expires_after(timeout);
    probe->timer.async_wait(
        [probe](error_code error)
        {
            if (!error)
            {
                probe->end(entry::probe_outcome::no_response);
            }
        });
    error_code error;
    asio::ip::address const address =
        asio::ip::make_address(upstream.address, error);
    if (error)
    {
        probe->end(entry::probe_outcome::no_response);
        return;
    }
    probe->socket.async_connect({address, upstream.port},
                                [probe](error_code connected)
                                {
                                    probe->end(outcome_of(connected));
                                });
}

} // namespace bilberrylead::http
