#include "bilberrylead/link/http_caller.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace bilberrylead;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::seconds call_timeout{20};

std::string answer_text(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A server that answers the first request of each connection with the next
/// text, and later ones with "next".
struct scripted_server
{
    scripted_server(asio::io_context& io, std::vector<std::string> script)
        : context(io), acceptor(io, {asio::ip::address_v4::loopback(), 0}),
          answers(std::move(script))
    {
        this->accept();
    }

    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code error, tcp::socket socket)
            {
                if (!error)
                {
                    this->sockets.push_back(
                        std::make_shared<tcp::socket>(std::move(socket)));
                    this->read(this->sockets.back(), this->taken++);
                    this->accept();
                }
            });
    }

    void read(std::shared_ptr<tcp::socket> const& socket, std::size_t place)
    {
        std::shared_ptr<std::string> const text =
            std::make_shared<std::string>();
        asio::async_read_until(
            *socket, asio::dynamic_buffer(*text), "\r\n\r\n",
            [this, socket, text, place](boost::system::error_code error,
                                        std::size_t)
            {
                if (error)
                {
                    return;
                }
                bool const scripted = place < this->answers.size() &&
                                      !this->answers[place].empty();
                std::string const answer =
                    scripted ? std::exchange(this->answers[place], {})
                             : answer_text("next");
                asio::write(*socket, asio::buffer(answer), error);
                this->read(socket, place);
            });
    }

    config::endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    std::vector<std::string> answers;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::size_t taken = 0;
};

/// Calls a scripted server.
struct calling_client
{
    explicit calling_client(std::vector<std::string> script)
        : server(this->io, std::move(script)),
          caller(this->io, this->server.address(), call_timeout)
    {
    }

    std::string call()
    {
        std::optional<std::string> body;
        this->caller.get("/list",
                         [&body](absl::StatusOr<link::http_result> result)
                         {
                             body = result.ok() ? result->body : "failed";
                         });
        while (!body.has_value())
        {
            this->io.run_one();
        }
        return *body;
    }

    asio::io_context io;
    scripted_server server;
    link::http_caller caller;
};

} // namespace

// Guards against a second answer to one call that is taken for the answer to
// the next one.
Test(http_caller, answer_that_comes_twice_answers_no_later_call)
{
    calling_client client({answer_text("first") + answer_text("stale")});
    cr_expect_eq(client.call(), "first");
    cr_expect_eq(client.call(), "next");
    cr_expect_eq(client.call(), "next");
}

// Guards against a call that fails because its kept connection has ended.
Test(http_caller, connection_that_has_ended_costs_no_call)
{
    calling_client client({answer_text("first")});
    cr_expect_eq(client.call(), "first");
    client.server.sockets.back()->close();
    cr_expect_eq(client.call(), "next");
}
