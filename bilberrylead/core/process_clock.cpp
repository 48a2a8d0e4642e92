#include "bilberrylead/core/process_clock.hpp"

#include <ctime>

namespace bilberrylead
{

instant clock_now()
{
    // The steady clock stands still while a machine is suspended.
    std::timespec now{};
    if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0)
    {
        return std::chrono::steady_clock::now();
    }
    return instant(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace bilberrylead
