#ifndef BILBERRYLEAD_TESTS_UNIT_HTTP_HTTP_FIXTURE_HPP
#define BILBERRYLEAD_TESTS_UNIT_HTTP_HTTP_FIXTURE_HPP

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/core/process_seed.hpp"
#include "bilberrylead/http/caller_server.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bilberrylead::http
{

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;
using answer_text =
    boost::beast::http::response<boost::beast::http::string_body>;
using request_text =
    boost::beast::http::request<boost::beast::http::string_body>;

/// A blocking client or server side of one connection.
struct wire
{
    explicit wire(tcp::socket connected) : socket(std::move(connected))
    {
    }

    void send(std::string const& text)
    {
        boost::system::error_code ignored;
        boost::asio::write(this->socket, boost::asio::buffer(text), ignored);
    }

    /// One whole answer, or nothing if the connection ended before it did.
    std::optional<answer_text> answer(bool head_only = false)
    {
        boost::beast::http::response_parser<boost::beast::http::string_body>
            parser;
        parser.body_limit(boost::none);
        parser.skip(head_only);
        boost::system::error_code error;
        boost::beast::http::read(this->socket, this->buffer, parser, error);
        if (error)
        {
            return std::nullopt;
        }
        return parser.release();
    }

    /// One whole request, or nothing if the connection ended before.
    std::optional<request_text> request()
    {
        boost::beast::http::request_parser<boost::beast::http::string_body>
            parser;
        parser.body_limit(boost::none);
        boost::system::error_code error;
        boost::beast::http::read(this->socket, this->buffer, parser, error);
        if (error)
        {
            return std::nullopt;
        }
        return parser.release();
    }

    /// Waits until the other side closes.
    bool closed()
    {
        std::array<char, 4096> waste{};
        boost::system::error_code error;
        while (!error)
        {
            this->socket.read_some(boost::asio::buffer(waste), error);
        }
        return true;
    }

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

/// An upstream whose every connection runs `script` on its own thread.
class fake_upstream
{
public:
    explicit fake_upstream(std::function<void(wire&, int)> chosen)
        : script(std::move(chosen)),
          acceptor(this->context, {boost::asio::ip::address_v4::loopback(), 0}),
          thread(
              [this]
              {
                  this->accept();
              })
    {
    }

    ~fake_upstream()
    {
        this->stopping = true;
        {
            std::lock_guard const lock(this->mutex);
            for (wire& each : this->wires)
            {
                ::shutdown(each.socket.native_handle(), SHUT_RDWR);
            }
        }
        ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
        this->thread.join();
        for (std::thread& each : this->threads)
        {
            each.join();
        }
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

    /// Connections taken so far.
    std::atomic<int> connections = 0;
    /// Requests whose work was run, counted by the scripts.
    std::atomic<int> runs = 0;

private:
    void accept()
    {
        for (;;)
        {
            tcp::socket socket(this->context);
            boost::system::error_code error;
            this->acceptor.accept(socket, error);
            if (error || this->stopping)
            {
                return;
            }
            std::lock_guard const lock(this->mutex);
            int const place = this->connections++;
            wire& connection = this->wires.emplace_back(std::move(socket));
            this->threads.emplace_back(
                [this, &connection, place]
                {
                    this->script(connection, place);
                    ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
                });
        }
    }

    std::function<void(wire&, int)> script;
    boost::asio::io_context context;
    tcp::acceptor acceptor;
    std::mutex mutex;
    std::list<wire> wires;
    std::list<std::thread> threads;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

/// Answers every request with its own target as the body.
inline void echo(wire& connection)
{
    while (std::optional<request_text> const request = connection.request())
    {
        std::string const body =
            std::string(request->target()) + std::string(request->body());
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    }
}

/// A caller_server with its thread. Outside effects are answered by
/// `outside`, which runs on that thread.
class running_server
{
public:
    explicit running_server(server_settings settings = {})
    {
        settings.entry.self = host_id("e1");
        settings.entry.zone = zone_id("z1");
        this->server = std::make_unique<caller_server>(
            this->context, settings, process_seed(settings.entry.self, 1),
            [this](entry::effect const& decided)
            {
                if (this->outside)
                {
                    this->outside(decided);
                }
            });
        cr_assert(this->server->listen().ok());
        this->thread = std::thread(
            [this]
            {
                this->context.run();
            });
    }

    ~running_server()
    {
        this->call(
            [this]
            {
                this->server.reset();
            });
        this->guard.reset();
        this->thread.join();
    }

    /// Runs `work` on the server's thread and waits for it.
    void call(std::function<void()> const& work)
    {
        std::promise<void> done;
        boost::asio::post(this->context,
                          [&work, &done]
                          {
                              work();
                              done.set_value();
                          });
        done.get_future().wait();
    }

    void dispatch(entry::event happened)
    {
        this->call(
            [this, &happened]
            {
                this->server->dispatch(std::move(happened));
            });
    }

    /// Brings one service "s" with these upstreams into force.
    void configure(std::vector<std::uint16_t> const& ports,
                   std::function<void(config::service&)> const& change = {})
    {
        std::shared_ptr<config::configuration> made =
            std::make_shared<config::configuration>();
        config::service service;
        service.id = service_id("s");
        service.idempotent = true;
        if (change)
        {
            change(service);
        }
        made->services.push_back(service);
        made->places.push_back({zone_id("z1"), region_id("r1"), {}});
        config::entry_host self;
        self.id = host_id("e1");
        self.zone = zone_id("z1");
        self.address = {"127.0.0.1", this->server->port()};
        made->entry_hosts.push_back(self);
        for (std::uint16_t const port : ports)
        {
            config::upstream upstream;
            upstream.id = upstream_id("u" + std::to_string(port));
            upstream.service = service.id;
            upstream.zone = zone_id("z1");
            upstream.address = {"127.0.0.1", port};
            made->upstreams.push_back(upstream);
        }
        if (this->adjust)
        {
            this->adjust(*made);
        }
        this->dispatch(entry::configuration_received{++this->revision, made});
    }

    wire connect()
    {
        tcp::socket socket(this->callers);
        socket.connect(
            {boost::asio::ip::address_v4::loopback(), this->server->port()});
        return wire(std::move(socket));
    }

    /// Sends one request on a new connection and returns its answer.
    std::optional<answer_text> ask(std::string const& text)
    {
        wire caller = this->connect();
        caller.send(text);
        return caller.answer();
    }

    /// Changes each configuration before it is brought into force.
    std::function<void(config::configuration&)> adjust;
    std::function<void(entry::effect const&)> outside;
    std::unique_ptr<caller_server> server;

private:
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard{this->context.get_executor()};
    boost::asio::io_context callers;
    bilberrylead::revision revision = 0;
    std::thread thread;
};

/// A GET of that target.
inline std::string get(std::string const& target,
                       std::string const& headers = {})
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

/// A POST of that body.
inline std::string post(std::string const& target, std::string const& body,
                        std::string const& headers = {})
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

/// A whole answer 200; `headers` end with a line break each.
inline std::string whole_answer_text(std::string const& body,
                                     std::string const& headers = {})
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + headers + "\r\n" + body;
}

} // namespace bilberrylead::http

#endif
