#ifndef BILBERRYLEAD_LINK_CONNECTION_GUARD_HPP
#define BILBERRYLEAD_LINK_CONNECTION_GUARD_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <exception>
#include <utility>

namespace bilberrylead::link
{

/// Ends a connection if an exception ends one of its handlers. Part of the
/// handler: captured by it, or the completion handler of its coroutine.
///
/// An exception in a handler, or in an operation that a coroutine waits for,
/// leaves the event loop. The handler or the coroutine is destroyed unfinished,
/// a coroutine from a later step of the loop, and what they would have ended
/// goes on without them.
template <class End>
class connection_guard
{
public:
    /// `end` ends the connection; called from the event loop, once at most.
    connection_guard(boost::asio::io_context::executor_type const& place,
                     End end)
        : where(place), on_failure(std::move(end))
    {
    }

    connection_guard(connection_guard&& other) noexcept
        : where(std::move(other.where)),
          on_failure(std::move(other.on_failure)),
          armed(std::exchange(other.armed, false))
    {
    }

    connection_guard(connection_guard const&) = delete;
    connection_guard& operator=(connection_guard const&) = delete;
    connection_guard& operator=(connection_guard&&) = delete;

    ~connection_guard()
    {
        // A loop that is being destroyed runs no handler.
        if (this->armed && this->where.running_in_this_thread())
        {
            boost::asio::post(this->where, std::move(this->on_failure));
        }
    }

    /// The handler has come to its end.
    void release()
    {
        this->armed = false;
    }

    /// As the completion handler of a coroutine.
    void operator()(std::exception_ptr const& failure)
    {
        this->armed = false;
        if (failure != nullptr)
        {
            this->on_failure();
        }
    }

private:
    boost::asio::io_context::executor_type where;
    End on_failure;
    bool armed = true;
};

} // namespace bilberrylead::link

#endif
