#include "bilberrylead/link/open_acceptor.hpp"

#include "bilberrylead/core/error.hpp"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace bilberrylead::link
{

using boost::asio::ip::tcp;
using error_code = boost::system::error_code;

absl::StatusOr<tcp::endpoint> to_tcp(config::endpoint const& address)
{
    error_code error;
    boost::asio::ip::address const parsed =
        boost::asio::ip::make_address(address.address, error);
    if (error)
    {
        return make_error(
            error_kind::bad_value,
            fmt::format("'{}' is no IP address.", address.address),
            "Write it as 192.0.2.1 or 2001:db8::1.");
    }
    return tcp::endpoint(parsed, address.port);
}

absl::Status cannot_listen(config::endpoint const& address,
                           error_code const& why)
{
    return make_error(error_kind::connection,
                      fmt::format("The address {}:{} cannot be had ({}).",
                                  address.address, address.port, why.message()),
                      "Free the port or set another one.");
}

} // namespace bilberrylead::link
