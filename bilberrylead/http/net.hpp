#ifndef BILBERRYLEAD_HTTP_NET_HPP
#define BILBERRYLEAD_HTTP_NET_HPP

// Asio and Beast as this folder's sources use them. Not for headers that
// other folders include.

#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/link/bounded_parser.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>

namespace bilberrylead::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// The one executor there is; named, so that no call goes through a
/// type-erased one.
using executor = asio::io_context::executor_type;

/// A coroutine of this folder.
template <class T>
using task = asio::awaitable<T, executor>;

/// A connected TCP socket.
using tcp_socket = asio::basic_stream_socket<asio::ip::tcp, executor>;

/// A timer on the clock that events carry.
using wait_timer =
    asio::basic_waitable_timer<std::chrono::steady_clock,
                               asio::wait_traits<std::chrono::steady_clock>,
                               executor>;

/// Completion token: suspend the coroutine, put the error into `error`.
inline auto to_task(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable_t<executor>{}, error);
}

/// A request's head and, in pieces, its body.
using request_parser = link::request_parser<beast::http::buffer_body>;
/// An answer's head and, in pieces, its body.
using answer_parser = link::response_parser<beast::http::buffer_body>;
/// A request that is sent in pieces.
using request_message = beast::http::request<beast::http::buffer_body>;
/// An answer that is sent in pieces.
using answer_message = beast::http::response<beast::http::buffer_body>;
/// An answer made here.
using whole_answer = beast::http::response<beast::http::string_body>;

} // namespace bilberrylead::http

#endif
