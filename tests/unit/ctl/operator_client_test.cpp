#include "bilberrylead/ctl/operator_client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>

using namespace bilberrylead;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// Sends `text` to the one request that it takes, and ends the connection.
class raw_host
{
public:
    raw_host(std::string text, bool resets)
        : acceptor(io, {asio::ip::address_v4::loopback(), 0}),
          thread(
              [this, text = std::move(text), resets]
              {
                  tcp::socket socket = this->acceptor.accept();
                  boost::system::error_code error;
                  std::string request;
                  asio::read_until(socket, asio::dynamic_buffer(request),
                                   "\r\n\r\n", error);
                  asio::write(socket, asio::buffer(text), error);
                  socket.set_option(asio::socket_base::linger(resets, 0),
                                    error);
                  socket.close(error);
              })
    {
    }

    ~raw_host()
    {
        this->thread.join();
    }

    raw_host(raw_host const&) = delete;
    raw_host& operator=(raw_host const&) = delete;

    absl::StatusOr<ctl::operator_answer> ask()
    {
        ctl::operator_client_settings settings;
        settings.control_hosts = {
            {"127.0.0.1", this->acceptor.local_endpoint().port()}};
        ctl::operator_client client(settings);
        return client.ask_one(0, "GET", "/v1/configuration");
    }

private:
    asio::io_context io;
    tcp::acceptor acceptor;
    std::thread thread;
};

std::string const document = R"({"revision":7,"document":"{}"})";

} // namespace

// Guards against an answer without meaning that is read as the accepted
// configuration.
Test(operator_client, answer_with_an_invalid_status_is_no_answer)
{
    for (std::string const status : {"000", "099", "600", "999"})
    {
        raw_host host(fmt::format("HTTP/1.1 {} No\r\nContent-Length: {}\r\n"
                                  "\r\n{}",
                                  status, document.size(), document),
                      false);
        cr_expect_not(host.ask().ok(), "%s", status.c_str());
    }
}

// Guards against a part of an answer that is read as the whole.
Test(operator_client, answer_that_is_cut_is_no_answer)
{
    std::string const part = document.substr(0, 12);
    for (bool const resets : {false, true})
    {
        raw_host measured(
            "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + part, resets);
        cr_expect_not(measured.ask().ok());
        raw_host chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         "\r\nc\r\n" +
                             part + "\r\n",
                         resets);
        cr_expect_not(chunked.ask().ok());
    }
    raw_host without_length("HTTP/1.1 200 OK\r\n\r\n" + part, true);
    cr_expect_not(without_length.ask().ok());
}
