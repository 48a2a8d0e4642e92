#ifndef BILBERRYLEAD_DAEMON_SETTINGS_WATCH_HPP
#define BILBERRYLEAD_DAEMON_SETTINGS_WATCH_HPP

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace bilberrylead::daemon
{

/// Says when a settings file should be looked at: on SIGHUP, and every few
/// seconds, since a file may change without a signal and stale seeds do no
/// harm for so long. Used from the io_context's thread.
class settings_watch
{
public:
    /// Calls `look` from `io`, which must outlive it, once started.
    settings_watch(boost::asio::io_context& io, std::function<void()> look);

    /// Starts to watch. Without it SIGHUP would end the process.
    void start();

private:
    void wait_for_time();
    void wait_for_signal();

    boost::asio::steady_timer timer;
    boost::asio::signal_set signals;
    std::function<void()> look;
};

} // namespace bilberrylead::daemon

#endif
