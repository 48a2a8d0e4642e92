#include "performance/entry_bench/bench_upstream.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>

#include <utility>

namespace bilberrylead::bench
{

namespace
{

constexpr std::size_t brief_size = 100;
constexpr std::size_t bundle_size = std::size_t{8} << 20U;

std::string answer_of(std::size_t size)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
           "\r\n\r\n" + std::string(size, 'x');
}

} // namespace

bench_upstream::bench_upstream()
    : brief(answer_of(brief_size)), bundle(answer_of(bundle_size)),
      acceptor(this->context.get_executor(),
               {boost::asio::ip::address_v4::loopback(), 0})
{
    boost::asio::co_spawn(
        this->context.get_executor(),
        [this]() -> http::task<void>
        {
            co_await this->accept();
        },
        boost::asio::detached);
    this->thread = std::thread(
        [this]
        {
            this->context.run();
        });
}

bench_upstream::~bench_upstream()
{
    this->context.stop();
    this->thread.join();
}

std::uint16_t bench_upstream::port() const
{
    return this->acceptor.local_endpoint().port();
}

http::task<void> bench_upstream::accept()
{
    http::error_code error;
    while (!error)
    {
        http::tcp_socket socket(this->context.get_executor());
        co_await this->acceptor.async_accept(socket, http::to_task(error));
        boost::asio::co_spawn(this->context.get_executor(),
                              this->serve(std::move(socket)),
                              boost::asio::detached);
    }
}

http::task<void> bench_upstream::serve(http::tcp_socket socket)
{
    http::error_code error;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
    boost::beast::flat_buffer buffer;
    while (!error)
    {
        boost::beast::http::request<boost::beast::http::empty_body> request;
        co_await boost::beast::http::async_read(socket, buffer, request,
                                                http::to_task(error));
        if (error)
        {
            co_return;
        }
        std::string const& answer =
            request.target() == "/s/bundle" ? this->bundle : this->brief;
        co_await boost::asio::async_write(socket, boost::asio::buffer(answer),
                                          http::to_task(error));
    }
}

} // namespace bilberrylead::bench
