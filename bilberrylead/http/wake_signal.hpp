#ifndef BILBERRYLEAD_HTTP_WAKE_SIGNAL_HPP
#define BILBERRYLEAD_HTTP_WAKE_SIGNAL_HPP

#include "bilberrylead/http/net.hpp"

namespace bilberrylead::http
{

/// Lets one coroutine wait until somebody notifies it. A notification that
/// comes first is not lost. One thread only.
class wake_signal
{
public:
    /// Makes a signal nobody has raised.
    explicit wake_signal(executor const& where) : timer(where)
    {
    }

    /// Wakes the waiter, or lets the next wait return at once.
    void notify()
    {
        this->raised = true;
        this->timer.cancel();
    }

    /// Returns once notified, and lowers the signal.
    task<void> wait()
    {
        while (!this->raised)
        {
            error_code ignored;
            this->timer.expires_at(wait_timer::time_point::max());
            co_await this->timer.async_wait(to_task(ignored));
        }
        this->raised = false;
    }

private:
    wait_timer timer;
    bool raised = false;
};

} // namespace bilberrylead::http

#endif
