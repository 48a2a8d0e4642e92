#include "free_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <stdexcept>

namespace bilberrylead::scenario
{

namespace
{

constexpr std::uint32_t first_port = 10000;
constexpr std::uint32_t port_count = 20000;
constexpr std::uint32_t ports_per_process = 200;

} // namespace

std::uint16_t free_port()
{
    // Runners that work at the same time start at different places.
    static std::uint32_t next =
        static_cast<std::uint32_t>(::getpid()) * ports_per_process;
    boost::asio::io_context io;
    for (std::uint32_t tries = 0; tries < port_count; ++tries)
    {
        std::uint16_t const port =
            static_cast<std::uint16_t>(first_port + next % port_count);
        ++next;
        boost::asio::ip::tcp::acceptor acceptor(io);
        boost::system::error_code error;
        acceptor.open(boost::asio::ip::tcp::v4(), error);
        acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, error);
        if (!error)
        {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace bilberrylead::scenario
