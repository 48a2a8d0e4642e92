#ifndef BILBERRYLEAD_SCENARIO_RUNNER_CHILD_PROCESS_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace bilberrylead::scenario
{

/// A process that a scenario started: ended, at the latest, with this
/// object, and only by its own id.
class child_process
{
public:
    /// Starts a program; its standard output and error go to files.
    child_process(std::string program, std::vector<std::string> arguments,
                  std::string const& output_file,
                  std::string const& error_file);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// Sends a signal.
    void signal(int number) const;

    /// True while it has not ended.
    bool running();

    /// Waits for its end and gives the exit code, 128 + N for signal N;
    /// nothing if it still runs after that time.
    std::optional<int> wait(std::chrono::milliseconds patience);

private:
    void reap(int options);

    pid_t id = -1;
    std::optional<int> ended_with;
};

} // namespace bilberrylead::scenario

#endif
