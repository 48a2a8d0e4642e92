#include "bilberrylead/daemon/settings_watch.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <csignal>
#include <utility>

namespace bilberrylead::daemon
{

namespace
{

using error_code = boost::system::error_code;

/// How often the file is looked at without a signal.
constexpr std::chrono::seconds look_interval{2};

} // namespace

settings_watch::settings_watch(boost::asio::io_context& io,
                               std::function<void()> then)
    : timer(io), signals(io), look(std::move(then))
{
}

void settings_watch::start()
{
    this->signals.add(SIGHUP);
    this->wait_for_signal();
    this->wait_for_time();
}

void settings_watch::wait_for_time()
{
    this->timer.expires_after(look_interval);
    this->timer.async_wait(
        [this](error_code const& error) noexcept
        {
            if (!error)
            {
                this->look();
                this->wait_for_time();
            }
        });
}

void settings_watch::wait_for_signal()
{
    this->signals.async_wait(
        [this](error_code const& error, int) noexcept
        {
            if (!error)
            {
                this->look();
                this->wait_for_signal();
            }
        });
}

} // namespace bilberrylead::daemon
