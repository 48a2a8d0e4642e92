#ifndef BILBERRYLEAD_SCENARIO_RUNNER_WAIT_UNTIL_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_WAIT_UNTIL_HPP

#include <chrono>
#include <thread>

namespace bilberrylead::scenario
{

/// How long a step waits for what must come. No promise hangs on it: it
/// only ends a scenario that would never end.
inline constexpr std::chrono::seconds patience{30};

/// Asks again and again until the condition holds; false when patience ends.
template <class Condition>
bool wait_until(Condition condition)
{
    constexpr std::chrono::milliseconds pause{20};
    std::chrono::steady_clock::time_point const deadline =
        std::chrono::steady_clock::now() + patience;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return true;
}

} // namespace bilberrylead::scenario

#endif
