#include "bilberrylead/load/stand_in_server.hpp"

#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/link/bounded_parser.hpp"
#include "bilberrylead/link/open_acceptor.hpp"
#include "bilberrylead/load/stand_in_admin.hpp"
#include "bilberrylead/load/stand_in_connection.hpp"
#include "bilberrylead/load/stand_in_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <deque>
#include <string>
#include <utility>

// g++ 12 takes the coroutine frames' own new and delete for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bilberrylead::load
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint64_t largest_admin_body = 1'048'576;

/// Answers admin requests for all upstreams until the other side closes.
asio::awaitable<void>
serve_admin(tcp::socket socket,
            std::vector<stand_in_upstream*> const& upstreams)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    beast::error_code error;
    while (!error)
    {
        link::request_parser<http::string_body> parser;
        parser.body_limit(largest_admin_body);
        co_await http::async_read(
            stream, buffer, parser,
            asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            break;
        }
        http::request<http::string_body> const& request = parser.get();
        std::string const target(request.target());
        std::string const method(request.method_string());
        std::size_t const mark = std::min(target.find('?'), target.size());
        admin_request const admin{
            method, std::string_view(target).substr(0, mark),
            std::string_view(target).substr(std::min(mark + 1, target.size())),
            request.body()};
        admin_answer const result =
            handle_admin(admin, upstreams, clock_now(),
                         std::chrono::floor<std::chrono::milliseconds>(
                             std::chrono::system_clock::now()));
        http::response<http::string_body> response;
        response.result(result.status);
        response.set(http::field::content_type, "application/json");
        response.keep_alive(request.keep_alive());
        response.body() = result.body;
        response.prepare_payload();
        co_await http::async_write(
            stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (!request.keep_alive())
        {
            break;
        }
    }
}

} // namespace

struct stand_in_server::state
{
    struct listener
    {
        stand_in_upstream upstream;
        config::endpoint address;
    };

    asio::awaitable<void> accept_callers(tcp::acceptor& acceptor,
                                         stand_in_upstream& upstream)
    {
        beast::error_code error;
        while (true)
        {
            tcp::socket socket = co_await acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
            {
                co_return;
            }
            if (error || !upstream.model.connection_opened())
            {
                continue;
            }
            std::shared_ptr<stand_in_connection> const connection =
                std::make_shared<stand_in_connection>(std::move(socket),
                                                      upstream);
            asio::co_spawn(
                this->context,
                [connection]() -> asio::awaitable<void>
                {
                    co_await connection->serve();
                },
                asio::detached);
        }
    }

    asio::awaitable<void> accept_admins()
    {
        beast::error_code error;
        while (true)
        {
            tcp::socket socket = co_await this->admin.async_accept(
                asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
            {
                co_return;
            }
            if (!error)
            {
                asio::co_spawn(this->context,
                               serve_admin(std::move(socket), this->all),
                               asio::detached);
            }
        }
    }

    // The order counts: connections that the context's end destroys still
    // take themselves out of their upstream, and acceptors end before it.
    std::vector<std::unique_ptr<listener>> listeners;
    std::vector<stand_in_upstream*> all;
    asio::io_context context{1};
    std::deque<tcp::acceptor> acceptors;
    tcp::acceptor admin{context};
};

stand_in_server::stand_in_server(std::vector<stand_in_place> const& places,
                                 std::uint64_t seed)
    : parts(std::make_unique<state>())
{
    instant const now = clock_now();
    for (stand_in_place const& each : places)
    {
        std::uint64_t const own_seed = seed + this->parts->listeners.size();
        upstream_model model(each.behaviour, own_seed, now);
        this->parts->listeners.push_back(std::make_unique<state::listener>(
            state::listener{stand_in_upstream{std::move(model), 0, {}, {}, {}},
                            each.address}));
        this->parts->all.push_back(&this->parts->listeners.back()->upstream);
    }
}

stand_in_server::~stand_in_server() = default;

absl::Status stand_in_server::listen(config::endpoint const& admin)
{
    for (std::unique_ptr<state::listener> const& each : this->parts->listeners)
    {
        tcp::acceptor& acceptor =
            this->parts->acceptors.emplace_back(this->parts->context);
        absl::Status status = link::open_acceptor(acceptor, each->address);
        if (!status.ok())
        {
            return status;
        }
        each->upstream.port = acceptor.local_endpoint().port();
        asio::co_spawn(this->parts->context,
                       this->parts->accept_callers(acceptor, each->upstream),
                       asio::detached);
    }
    absl::Status status = link::open_acceptor(this->parts->admin, admin);
    if (status.ok())
    {
        asio::co_spawn(this->parts->context, this->parts->accept_admins(),
                       asio::detached);
    }
    return status;
}

std::vector<std::uint16_t> stand_in_server::ports() const
{
    std::vector<std::uint16_t> result;
    for (stand_in_upstream const* const each : this->parts->all)
    {
        result.push_back(each->port);
    }
    return result;
}

std::uint16_t stand_in_server::admin_port() const
{
    return this->parts->admin.local_endpoint().port();
}

void stand_in_server::run()
{
    asio::signal_set signals(this->parts->context, SIGTERM, SIGINT);
    signals.async_wait(
        [this](beast::error_code error, int /*number*/)
        {
            if (!error)
            {
                this->parts->context.stop();
            }
        });
    this->parts->context.run();
}

void stand_in_server::stop()
{
    this->parts->context.stop();
}

} // namespace bilberrylead::load
