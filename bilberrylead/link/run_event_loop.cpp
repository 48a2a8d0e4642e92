#include "bilberrylead/link/run_event_loop.hpp"

#include "bilberrylead/core/log.hpp"

#include <boost/asio/io_context.hpp>

#include <exception>

namespace bilberrylead::link
{

namespace
{

constexpr part_log log{"event loop"};

} // namespace

void run_event_loop(boost::asio::io_context& io)
{
    bool goes_on = true;
    while (goes_on)
    {
        try
        {
            io.run();
            goes_on = false;
        }
        catch (std::exception const& failure)
        {
            log.error("A handler and its connection were ended by an "
                      "exception: {}.",
                      failure.what());
        }
    }
}

} // namespace bilberrylead::link
