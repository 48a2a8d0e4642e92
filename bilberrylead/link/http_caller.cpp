#include "bilberrylead/link/http_caller.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/core/read_limits.hpp"
#include "bilberrylead/link/bounded_parser.hpp"
#include "bilberrylead/link/open_acceptor.hpp"
#include "bilberrylead/link/quiet_socket.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>
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

/// Largest answer that is taken, bytes: a list of 100,000 upstreams.
constexpr std::size_t largest_answer = std::size_t{16} << 20U;

} // namespace

/// One call and its connection. A call that is given up leaves its object
/// to its own pending operations.
struct http_caller::implementation
    : std::enable_shared_from_this<http_caller::implementation>
{
    implementation(asio::io_context& context, config::endpoint where,
                   duration longest)
        : io(context), address(std::move(where)), timeout(longest),
          stream(context)
    {
    }

    bool is_reusable();
    void begin(std::string const& target);
    void send();
    void receive();
    void end(absl::StatusOr<http_result> result);
    void fail(error_code const& error);

    asio::io_context& io;
    config::endpoint address;
    duration timeout;
    beast::tcp_stream stream;
    bool connected = false;
    beast::flat_buffer buffer{max_unparsed_bytes};
    http::request<http::empty_body> request;
    std::optional<response_parser<http::string_body>> parser;
    result_function done;
};

/// Bytes that came behind the last answer would be read as the next one.
bool http_caller::implementation::is_reusable()
{
    return this->connected && this->buffer.size() == 0 &&
           is_quiet(this->stream.socket().native_handle());
}

void http_caller::implementation::begin(std::string const& target)
{
    this->request = {http::verb::get, target, 11};
    this->request.set(http::field::host, to_string(this->address));
    this->request.keep_alive(true);
    this->stream.expires_after(this->timeout);
    if (this->is_reusable())
    {
        this->send();
        return;
    }
    this->connected = false;
    this->stream.close();
    this->buffer.clear();
    absl::StatusOr<tcp::endpoint> const where = to_tcp(this->address);
    if (!where.ok())
    {
        this->end(where.status());
        return;
    }
    this->stream.async_connect(
        *where,
        [self = this->shared_from_this()](error_code const& error)
        {
            if (error)
            {
                self->fail(error);
                return;
            }
            self->connected = true;
            self->send();
        });
}

void http_caller::implementation::send()
{
    http::async_write(
        this->stream, this->request,
        [self = this->shared_from_this()](error_code const& error, std::size_t)
        {
            if (error)
            {
                self->fail(error);
                return;
            }
            self->receive();
        });
}

void http_caller::implementation::receive()
{
    this->parser.emplace();
    this->parser->body_limit(largest_answer);
    http::async_read(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](error_code const& error, std::size_t)
        {
            if (error)
            {
                self->fail(error);
                return;
            }
            self->stream.expires_never();
            self->connected =
                self->parser->keep_alive() && !self->parser->need_eof();
            if (!self->connected)
            {
                self->stream.close();
            }
            self->end(http_result{self->parser->get().result_int(),
                                  std::move(self->parser->get().body())});
        });
}

void http_caller::implementation::fail(error_code const& error)
{
    this->connected = false;
    this->stream.close();
    bool const late = error == beast::error::timeout;
    this->end(
        make_error(late ? error_kind::timeout : error_kind::connection,
                   to_string(this->address) + ": " + error.message() + ".",
                   "See whether it runs and can be reached."));
}

void http_caller::implementation::end(absl::StatusOr<http_result> result)
{
    result_function const report = std::exchange(this->done, nullptr);
    if (report)
    {
        report(std::move(result));
    }
}

http_caller::http_caller(asio::io_context& io, config::endpoint address,
                         duration timeout)
    : impl(std::make_shared<implementation>(io, std::move(address), timeout))
{
}

http_caller::~http_caller()
{
    this->impl->done = nullptr;
    this->impl->stream.close();
}

void http_caller::get(std::string const& target, result_function done)
{
    if (this->impl->done)
    {
        // The open call's answer must not be taken for the new one's.
        this->impl->done = nullptr;
        this->impl->stream.close();
        this->impl = std::make_shared<implementation>(
            this->impl->io, this->impl->address, this->impl->timeout);
    }
    this->impl->done = std::move(done);
    this->impl->begin(target);
}

} // namespace bilberrylead::link
