#ifndef BILBERRYLEAD_LINK_OPEN_ACCEPTOR_HPP
#define BILBERRYLEAD_LINK_OPEN_ACCEPTOR_HPP

#include "bilberrylead/config/endpoint.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>

namespace bilberrylead::link
{

/// The address as Asio takes it; kind `bad_value` if it is no IP address.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
to_tcp(config::endpoint const& address);

/// What to say when an address cannot be listened at; kind `connection`.
absl::Status cannot_listen(config::endpoint const& address,
                           boost::system::error_code const& why);

/// Opens an acceptor, of whichever executor, and lets it listen at the
/// address. Kind `connection` if the address cannot be had.
template <class Acceptor>
absl::Status open_acceptor(Acceptor& acceptor, config::endpoint const& address)
{
    absl::StatusOr<boost::asio::ip::tcp::endpoint> const where =
        to_tcp(address);
    if (!where.ok())
    {
        return where.status();
    }
    boost::system::error_code error;
    acceptor.open(where->protocol(), error);
    if (!error)
    {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                            error);
    }
    if (!error)
    {
        acceptor.bind(*where, error);
    }
    if (!error)
    {
        acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        error);
    }
    return error ? cannot_listen(address, error) : absl::OkStatus();
}

} // namespace bilberrylead::link

#endif
