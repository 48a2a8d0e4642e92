#ifndef BILBERRYLEAD_LINK_HTTP_CALLER_HPP
#define BILBERRYLEAD_LINK_HTTP_CALLER_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/time.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace bilberrylead::link
{

/// A whole HTTP answer from another system.
struct http_result
{
    /// Status.
    unsigned status = 0;
    /// The body.
    std::string body;
};

/// Asks one address by HTTP/1.1, one call at a time, over a connection that
/// is kept between calls. Used from the io_context's thread.
class http_caller
{
public:
    /// Takes the answer, or why there is none (kind connection or timeout).
    using result_function = std::function<void(absl::StatusOr<http_result>)>;

    /// Prepares calls to an address. A call without an answer has failed
    /// after `timeout`. `io` must outlive it.
    http_caller(boost::asio::io_context& io, config::endpoint address,
                duration timeout);
    ~http_caller();
    http_caller(http_caller const&) = delete;
    http_caller& operator=(http_caller const&) = delete;

    /// Asks for a target; `done` is called once, later. A call that is still
    /// open is given up without a word.
    void get(std::string const& target, result_function done);

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace bilberrylead::link

#endif
