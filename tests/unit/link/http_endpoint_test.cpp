#include "bilberrylead/link/http_endpoint.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace bilberrylead;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// An endpoint with its thread; it answers each request with its body.
class running_endpoint
{
public:
    running_endpoint()
    {
        cr_assert(this->endpoint.listen({"127.0.0.1", 0}).ok());
        this->thread = std::thread(
            [this]
            {
                this->io.run();
            });
    }

    ~running_endpoint()
    {
        this->io.stop();
        this->thread.join();
    }

    running_endpoint(running_endpoint const&) = delete;
    running_endpoint& operator=(running_endpoint const&) = delete;

    /// All that comes back for these bytes.
    std::string ask(std::string const& bytes)
    {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect(
            {asio::ip::address_v4::loopback(), this->endpoint.port()});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        socket.shutdown(tcp::socket::shutdown_send, error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    /// Requests that were served.
    std::atomic<int> served = 0;

private:
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> guard{
        io.get_executor()};
    link::http_endpoint endpoint{
        io, [this](link::http_request const& request,
                   link::http_endpoint::answer_function const& answer)
        {
            ++this->served;
            answer({200, "text/plain", request.body});
        }};
    std::thread thread;
};

std::string request_with(std::string const& fields)
{
    return "POST /v1/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields +
           "\r\nabc";
}

} // namespace

// Guards against an operator's request that two readers understand in two ways.
Test(http_endpoint, malformed_request_is_not_served)
{
    running_endpoint endpoint;
    std::vector<std::string> fields = {
        "Content-Length : 3\r\n",
        "Content-Length\t: 3\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Transfer-Encoding\t: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 2\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3x\r\n",
        "Content-Length: 3\r\nno colon\r\n",
        "Content-Length: 3\r\n: b\r\n"};
    for (char const byte : {'\0', '\x01', '\x07', '\t', '\x0b', '\x1f', ' ',
                            '\x7f', '\x80', '\xff'})
    {
        fields.push_back(std::string("Content-Length: 3\r\nX-") + byte +
                         "Of: b\r\n");
    }
    for (std::string const& each : fields)
    {
        cr_expect_not(endpoint.ask(request_with(each)).ends_with("abc"), "%s",
                      each.c_str());
    }
    cr_expect_eq(endpoint.served.load(), 0);
    cr_expect(
        endpoint.ask(request_with("Content-Length: 3\r\n")).ends_with("abc"));
}
