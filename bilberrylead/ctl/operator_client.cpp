#include "bilberrylead/ctl/operator_client.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/core/http_status.hpp"
#include "bilberrylead/core/read_limits.hpp"
#include "bilberrylead/ctl/report.hpp"
#include "bilberrylead/link/bounded_parser.hpp"
#include "bilberrylead/link/open_acceptor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <cstdint>
#include <limits>
#include <thread>
#include <utility>

namespace bilberrylead::ctl
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;

constexpr unsigned misdirected = 421;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;

/// One exchange with one host, with a time-out for all of it.
class exchange
{
public:
    explicit exchange(duration timeout) : stream(this->io)
    {
        this->stream.expires_after(timeout);
    }

    absl::StatusOr<operator_answer>
    run(asio::ip::tcp::endpoint const& address,
        http::request<http::string_body> request)
    {
        this->request = std::move(request);
        this->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        this->stream.async_connect(address,
                                   [this](error_code const& error)
                                   {
                                       this->on_connected(error);
                                   });
        this->io.run();
        if (this->failed)
        {
            return make_error(error_kind::connection,
                              fmt::format("{}:{} does not answer ({}).",
                                          address.address().to_string(),
                                          address.port(),
                                          this->failed.message()),
                              "Check that the host runs and the address is "
                              "its operator address.");
        }
        unsigned const status = this->parser.get().result_int();
        if (!is_valid_status(status))
        {
            return make_error(
                error_kind::connection,
                fmt::format("{}:{} answers with the invalid status {:03}.",
                            address.address().to_string(), address.port(),
                            status),
                "Check that the address is its operator address.");
        }
        return operator_answer{status, std::move(this->parser.get().body()), 0};
    }

    /// True if a part of the request may have reached the host.
    bool was_sent() const
    {
        return this->sent;
    }

private:
    void on_connected(error_code const& error)
    {
        this->failed = error;
        if (!error)
        {
            this->sent = true;
            http::async_write(this->stream, this->request,
                              [this](error_code const& outcome, std::size_t)
                              {
                                  this->on_written(outcome);
                              });
        }
    }

    void on_written(error_code const& error)
    {
        this->failed = error;
        if (!error)
        {
            http::async_read(this->stream, this->buffer, this->parser,
                             [this](error_code const& outcome, std::size_t)
                             {
                                 this->failed = outcome;
                             });
        }
    }

    asio::io_context io{1};
    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
    http::request<http::string_body> request;
    link::response_parser<http::string_body> parser;
    error_code failed;
    bool sent = false;
};

bool is_final(unsigned status)
{
    return status != misdirected && status != unavailable &&
           status != gateway_timeout;
}

/// True if the host may have carried out what it did not report as done: it
/// lost the leadership, or its data folder failed, with the request open.
bool leaves_outcome_open(operator_answer const& answer)
{
    if (answer.status != unavailable)
    {
        return answer.status == gateway_timeout;
    }
    absl::StatusOr<nlohmann::json> const body = body_of(answer);
    return body.ok() &&
           body->value("error", "") == to_string(error_kind::storage);
}

} // namespace

/// One sending of a request.
struct operator_client::sending
{
    /// The host's answer.
    absl::StatusOr<operator_answer> answer;
    /// True if the request may have been carried out and the answer does not
    /// say so.
    bool outcome_is_open = false;
};

operator_client::operator_client(operator_client_settings settings)
    : settings(std::move(settings))
{
}

absl::StatusOr<operator_answer> operator_client::ask(std::string const& method,
                                                     std::string const& target,
                                                     std::string const& body)
{
    instant const deadline =
        std::chrono::steady_clock::now() + this->settings.patience;
    absl::StatusOr<operator_answer> last =
        make_error(error_kind::connection, "No control host is known.",
                   "Name one with --control ADDRESS:PORT.");
    bool outcome_was_lost = false;
    while (this->host_count() > 0)
    {
        for (std::size_t step = 0; step < this->host_count(); ++step)
        {
            std::size_t const host =
                (this->first_host + step) % this->host_count();
            sending const next = this->send(host, method, target, body);
            outcome_was_lost = outcome_was_lost || next.outcome_is_open;
            last = next.answer;
            if (last.ok())
            {
                last->outcome_was_lost = outcome_was_lost;
            }
            if (last.ok() && is_final(last->status))
            {
                // The next question goes to the leader at once.
                this->first_host = host;
                return last;
            }
        }
        if (std::chrono::steady_clock::now() >= deadline)
        {
            break;
        }
        std::this_thread::sleep_for(this->settings.pause);
    }
    return last;
}

absl::StatusOr<operator_answer>
operator_client::ask_one(std::size_t host, std::string const& method,
                         std::string const& target, std::string const& body)
{
    return this->send(host, method, target, body).answer;
}

operator_client::sending operator_client::send(std::size_t host,
                                               std::string const& method,
                                               std::string const& target,
                                               std::string const& body)
{
    config::endpoint const& where = this->settings.control_hosts.at(host);
    absl::StatusOr<asio::ip::tcp::endpoint> const address = link::to_tcp(where);
    if (!address.ok())
    {
        return {address.status()};
    }
    http::request<http::string_body> request(http::string_to_verb(method),
                                             target, 11);
    request.set(http::field::host,
                fmt::format("{}:{}", where.address, where.port));
    request.set(http::field::authorization, "Bearer " + this->settings.key);
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();

    exchange once(this->settings.answer_timeout);
    absl::StatusOr<operator_answer> answer =
        once.run(*address, std::move(request));
    bool outcome_is_open = once.was_sent();
    if (answer.ok())
    {
        answer->host = host;
        outcome_is_open = leaves_outcome_open(*answer);
    }
    return {std::move(answer), outcome_is_open};
}

std::size_t operator_client::host_count() const
{
    return this->settings.control_hosts.size();
}

} // namespace bilberrylead::ctl
