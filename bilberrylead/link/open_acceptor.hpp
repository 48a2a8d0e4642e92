#ifndef BILBERRYLEAD_LINK_OPEN_ACCEPTOR_HPP
#define BILBERRYLEAD_LINK_OPEN_ACCEPTOR_HPP

#include "bilberrylead/config/endpoint.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

namespace bilberrylead::link
{

/// The address as Asio takes it; kind `bad_value` if it is no IP address.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
to_tcp(config::endpoint const& address);

/// Opens an acceptor and lets it listen at the address. Kind `connection`
/// if the address cannot be had.
absl::Status open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                           config::endpoint const& address);

} // namespace bilberrylead::link

#endif
