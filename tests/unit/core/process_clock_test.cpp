#include "bilberrylead/core/process_clock.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

using bilberrylead::clock_now;
using bilberrylead::instant;

namespace
{

/// How long the machine of this process was suspended, as the clocks tell it.
std::time_t suspended_seconds = 0;

} // namespace

/// Takes the place of the C library's function in this program: a suspension
/// advances all clocks but the monotonic ones.
extern "C" int clock_gettime(clockid_t clock, std::timespec* result) noexcept
{
    long const failed = ::syscall(SYS_clock_gettime, clock, result);
    if (failed == 0 && (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME))
    {
        result->tv_sec += suspended_seconds;
    }
    return static_cast<int>(failed);
}

// Guards against a leader whose lease outlives the suspension of its machine,
// so that it answers a read with a state that others have replaced meanwhile.
Test(process_clock, time_of_a_suspension_counts)
{
    constexpr std::chrono::seconds suspension{5};
    instant const before = clock_now();
    suspended_seconds = suspension.count();
    instant const after = clock_now();
    suspended_seconds = 0;
    cr_assert_geq((after - before).count(),
                  std::chrono::nanoseconds(suspension).count());
}
