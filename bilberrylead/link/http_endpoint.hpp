#ifndef BILBERRYLEAD_LINK_HTTP_ENDPOINT_HPP
#define BILBERRYLEAD_LINK_HTTP_ENDPOINT_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/time.hpp"

#include <absl/status/status.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace bilberrylead::link
{

/// A whole HTTP request of an operator or of whoever collects metrics.
struct http_request
{
    /// Method, for example GET.
    std::string method;
    /// Path and query as sent.
    std::string target;
    /// The Authorization header, empty if there is none.
    std::string authorization;
    /// The body.
    std::string body;
};

/// A whole HTTP answer.
struct http_answer
{
    /// Status, 200 to 599.
    unsigned status = 200;
    /// Content-Type of the body.
    std::string content_type = "application/json";
    /// The body.
    std::string body;
    /// Location header; empty if there is none.
    std::string location = {};
};

/// Bounds of an http_endpoint. Its users are few and known; the bounds keep
/// a stranger on the port from costing more than a little.
struct http_endpoint_settings
{
    /// Largest request body, bytes: a whole configuration has to fit.
    std::size_t largest_body = std::size_t{64} << 20U;
    /// Time for a request to come in, and for an answer to be taken.
    duration exchange_timeout = std::chrono::seconds(30);
    /// Connections at a time; more are closed at once.
    std::size_t most_connections = 64;
};

/// A small HTTP/1.1 server for operators and metrics, not for callers:
/// whole messages only. Used from the io_context's thread.
class http_endpoint
{
public:
    /// Gives the answer to one request; must be called exactly once, then
    /// or later.
    using answer_function = std::function<void(http_answer)>;
    /// Takes one request.
    using handler = std::function<void(http_request, answer_function)>;

    /// Makes an endpoint that listens nowhere yet. `io` must outlive it.
    http_endpoint(boost::asio::io_context& io, handler serve,
                  http_endpoint_settings const& settings = {});
    ~http_endpoint();
    http_endpoint(http_endpoint const&) = delete;
    http_endpoint& operator=(http_endpoint const&) = delete;

    /// Takes requests at this address from now on; port 0 takes a free one.
    /// Kind `connection` if the address cannot be had.
    absl::Status listen(config::endpoint const& address);

    /// The port that listen() took.
    std::uint16_t port() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace bilberrylead::link

#endif
