#include "bilberrylead/link/connection_guard.hpp"
#include "bilberrylead/link/run_event_loop.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>

#include <optional>
#include <stdexcept>
#include <utility>

using namespace bilberrylead;
namespace asio = boost::asio;

namespace
{

using executor = asio::io_context::executor_type;
template <class T>
using task = asio::awaitable<T, executor>;

/// An operation whose own step throws, outside of the coroutine that waits.
task<void> await_throwing_operation(asio::io_context& io)
{
    co_await asio::async_initiate<asio::use_awaitable_t<executor> const,
                                  void()>(
        [&io](auto handler)
        {
            asio::post(io,
                       [handler = std::move(handler)]()
                       {
                           throw std::length_error("field value too large");
                       });
        },
        asio::use_awaitable_t<executor>{});
}

task<void> throw_at_once()
{
    throw std::length_error("field value too large");
    co_return;
}

task<void> end_without_exception()
{
    co_return;
}

/// A loop with connections that are ended by exceptions, and one that is not.
struct guarded_loop
{
    auto guard()
    {
        return link::connection_guard(this->io.get_executor(),
                                      [this]
                                      {
                                          ++this->ended;
                                      });
    }

    void run()
    {
        asio::post(this->io,
                   [this]
                   {
                       asio::post(this->io,
                                  [this]
                                  {
                                      ++this->others;
                                  });
                   });
        link::run_event_loop(this->io);
    }

    asio::io_context io{1};
    int ended = 0;
    int others = 0;
};

} // namespace

// Guards against an exception in one connection that ends the process.
Test(connection_guard, exception_of_a_coroutine_ends_its_connection_only)
{
    guarded_loop loop;
    asio::co_spawn(loop.io.get_executor(), throw_at_once(), loop.guard());
    loop.run();
    cr_expect_eq(loop.ended, 1);
    cr_expect_eq(loop.others, 1);
}

// Guards against a connection that goes on without its coroutine.
Test(connection_guard, exception_below_a_coroutine_ends_its_connection_only)
{
    guarded_loop loop;
    asio::co_spawn(loop.io.get_executor(), await_throwing_operation(loop.io),
                   loop.guard());
    loop.run();
    cr_expect_eq(loop.ended, 1);
    cr_expect_eq(loop.others, 1);
}

// Guards against a connection that goes on without its handler.
Test(connection_guard, exception_of_a_handler_ends_its_connection_only)
{
    guarded_loop loop;
    asio::post(loop.io,
               [guard = loop.guard()]()
               {
                   throw std::length_error("field value too large");
               });
    loop.run();
    cr_expect_eq(loop.ended, 1);
    cr_expect_eq(loop.others, 1);
}

// Guards against connections that are ended while nothing has failed.
Test(connection_guard, connection_without_an_exception_is_not_ended)
{
    guarded_loop loop;
    asio::co_spawn(loop.io.get_executor(), end_without_exception(),
                   loop.guard());
    asio::post(loop.io,
               [guard = loop.guard()]() mutable
               {
                   guard.release();
               });
    loop.run();
    cr_expect_eq(loop.ended, 0);
    {
        std::optional<asio::io_context> unfinished;
        unfinished.emplace(1);
        asio::post(*unfinished,
                   [guard = link::connection_guard(unfinished->get_executor(),
                                                   [&loop]
                                                   {
                                                       ++loop.ended;
                                                   })]() {});
        unfinished.reset();
    }
    cr_expect_eq(loop.ended, 0);
}
