#include "bilberrylead/link/http_endpoint.hpp"

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/core/read_limits.hpp"
#include "bilberrylead/link/bounded_parser.hpp"
#include "bilberrylead/link/open_acceptor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <exception>
#include <optional>
#include <string>
#include <utility>

namespace bilberrylead::link
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr part_log log{"http endpoint"};

/// One connection; kept alive by its own pending operations.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(tcp::socket socket, http_endpoint::handler const& serve,
                 http_endpoint_settings const& settings,
                 std::shared_ptr<std::size_t> open)
        : stream(std::move(socket)), serve(serve), settings(settings),
          open(std::move(open))
    {
        ++*this->open;
        error_code error;
        tcp::endpoint const from = this->stream.socket().remote_endpoint(error);
        if (!error)
        {
            this->peer = from.address().to_string();
        }
    }

    ~http_session()
    {
        if (std::uncaught_exceptions() > 0)
        {
            log.error("The connection of {} is ended by an exception.",
                      this->peer);
        }
        --*this->open;
    }

    http_session(http_session const&) = delete;
    http_session& operator=(http_session const&) = delete;

    void read_next()
    {
        this->parser.emplace();
        this->parser->body_limit(this->settings.largest_body);
        this->stream.expires_after(this->settings.exchange_timeout);
        http::async_read(this->stream, this->buffer, *this->parser,
                         [self = this->shared_from_this()](
                             error_code const& error, std::size_t)
                         {
                             if (!error)
                             {
                                 self->serve_one();
                             }
                         });
    }

private:
    void serve_one()
    {
        http::request<http::string_body> message = this->parser->release();
        this->keep_alive = message.keep_alive();
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.authorization =
            std::string(message[http::field::authorization]);
        request.body = std::move(message.body());
        this->stream.expires_never();
        this->serve(std::move(request),
                    [self = this->shared_from_this()](http_answer answer)
                    {
                        self->write(std::move(answer));
                    });
    }

    void write(http_answer content)
    {
        this->answer = {};
        this->answer.version(11);
        this->answer.result(content.status);
        this->answer.set(http::field::content_type, content.content_type);
        if (!content.location.empty())
        {
            this->answer.set(http::field::location, content.location);
        }
        this->answer.keep_alive(this->keep_alive);
        this->answer.body() = std::move(content.body);
        this->answer.prepare_payload();
        this->stream.expires_after(this->settings.exchange_timeout);
        http::async_write(this->stream, this->answer,
                          [self = this->shared_from_this()](
                              error_code const& error, std::size_t)
                          {
                              if (!error && self->keep_alive)
                              {
                                  self->read_next();
                              }
                          });
    }

    beast::tcp_stream stream;
    std::string peer;
    http_endpoint::handler const& serve;
    http_endpoint_settings const& settings;
    std::shared_ptr<std::size_t> open;
    beast::flat_buffer buffer{max_unparsed_bytes};
    std::optional<request_parser<http::string_body>> parser;
    http::response<http::string_body> answer;
    bool keep_alive = false;
};

} // namespace

/// Listens, and holds what its sessions refer to.
struct http_endpoint::implementation
    : std::enable_shared_from_this<http_endpoint::implementation>
{
    implementation(asio::io_context& io, handler serve,
                   http_endpoint_settings const& settings)
        : acceptor(io), serve(std::move(serve)), settings(settings)
    {
    }

    void accept_next()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](error_code const& error,
                                              tcp::socket socket) noexcept
            {
                if (error == asio::error::operation_aborted)
                {
                    return;
                }
                if (!error && *self->open < self->settings.most_connections)
                {
                    std::make_shared<http_session>(std::move(socket),
                                                   self->serve, self->settings,
                                                   self->open)
                        ->read_next();
                }
                self->accept_next();
            });
    }

    tcp::acceptor acceptor;
    handler serve;
    http_endpoint_settings settings;
    std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(0);
};

http_endpoint::http_endpoint(asio::io_context& io, handler serve,
                             http_endpoint_settings const& settings)
    : impl(std::make_shared<implementation>(io, std::move(serve), settings))
{
}

http_endpoint::~http_endpoint()
{
    error_code ignored;
    this->impl->acceptor.close(ignored);
}

absl::Status http_endpoint::listen(config::endpoint const& address)
{
    absl::Status opened = open_acceptor(this->impl->acceptor, address);
    if (opened.ok())
    {
        this->impl->accept_next();
    }
    return opened;
}

std::uint16_t http_endpoint::port() const
{
    error_code error;
    tcp::endpoint const local = this->impl->acceptor.local_endpoint(error);
    return error ? std::uint16_t{0} : local.port();
}

} // namespace bilberrylead::link
