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
                if (this->ends_connections)
                {
                    socket->set_option(
                        asio::socket_base::linger(this->resets, 0), error);
                    socket->close(error);
                    return;
                }
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
    /// True if each answer ends its connection, and then with a reset or not.
    bool ends_connections = false;
    bool resets = false;
};

/// Calls a scripted server.
struct calling_client
{
    explicit calling_client(std::vector<std::string> script)
        : server(this->io, std::move(script)),
          caller(this->io, this->server.address(), call_timeout)
    {
    }

    absl::StatusOr<link::http_result> get()
    {
        std::optional<absl::StatusOr<link::http_result>> answer;
        this->caller.get("/list",
                         [&answer](absl::StatusOr<link::http_result> result)
                         {
                             answer = std::move(result);
                         });
        while (!answer.has_value())
        {
            this->io.run_one();
        }
        return *answer;
    }

    std::string call()
    {
        absl::StatusOr<link::http_result> const result = this->get();
        return result.ok() ? result->body : "failed";
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

// Guards against a list that lost its end, from which upstreams would vanish.
Test(http_caller, list_that_is_cut_is_no_list)
{
    std::string const without_length = "HTTP/1.1 200 OK\r\n\r\n{\"a\":";
    for (bool const resets : {false, true})
    {
        calling_client client(
            {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"a\":",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\n{\"a\":\r\n"});
        client.server.ends_connections = true;
        client.server.resets = resets;
        cr_expect_eq(client.call(), "failed");
        cr_expect_eq(client.call(), "failed");
    }
    calling_client client({without_length});
    client.server.ends_connections = true;
    client.server.resets = true;
    cr_expect_eq(client.call(), "failed");
}

// Guards against an answer without meaning that is taken for a list.
Test(http_caller, invalid_status_is_not_the_one_of_a_list)
{
    for (std::string const status : {"000", "099", "600", "999"})
    {
        calling_client client(
            {"HTTP/1.1 " + status + " No\r\nContent-Length: 2\r\n\r\n{}"});
        absl::StatusOr<link::http_result> const result = client.get();
        cr_expect(!result.ok() || result->status != 200, "%s", status.c_str());
    }
}
