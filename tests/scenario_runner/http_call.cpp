#include "http_call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace bilberrylead::scenario
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;

/// The three steps of one call.
struct one_call
{
    one_call() : stream(this->io)
    {
    }

    void run(std::uint16_t port)
    {
        this->stream.async_connect(
            asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port),
            [this](error_code const& error)
            {
                if (!error)
                {
                    this->write();
                }
            });
        this->io.run();
    }

    void write()
    {
        http::async_write(this->stream, this->request,
                          [this](error_code const& error, std::size_t)
                          {
                              if (!error)
                              {
                                  this->read();
                              }
                          });
    }

    void read()
    {
        http::async_read(this->stream, this->buffer, this->response,
                         [this](error_code const& error, std::size_t)
                         {
                             this->is_whole = !error;
                         });
    }

    asio::io_context io{1};
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    bool is_whole = false;
};

} // namespace

call_result call(std::uint16_t port, std::string const& method,
                 std::string const& target, std::string const& body,
                 std::map<std::string, std::string> const& headers,
                 std::chrono::milliseconds patience)
{
    one_call once;
    once.request.version(11);
    once.request.method_string(method);
    once.request.target(target);
    once.request.set(http::field::host, "127.0.0.1");
    once.request.keep_alive(false);
    for (std::pair<std::string const, std::string> const& header : headers)
    {
        once.request.set(header.first, header.second);
    }
    once.request.body() = body;
    once.request.prepare_payload();
    once.stream.expires_after(patience);
    once.run(port);
    if (!once.is_whole)
    {
        return {};
    }
    return {once.response.result_int(), once.response.body()};
}

} // namespace bilberrylead::scenario
