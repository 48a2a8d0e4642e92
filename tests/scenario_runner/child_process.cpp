#include "child_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <thread>

namespace bilberrylead::scenario
{

namespace
{

constexpr int not_started = 127;
constexpr int signal_base = 128;
constexpr std::chrono::milliseconds poll_pause{2};

void redirect(std::string const& path, int descriptor)
{
    int const file =
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(file, descriptor);
}

} // namespace

child_process::child_process(std::string program,
                             std::vector<std::string> arguments,
                             std::string const& output_file,
                             std::string const& error_file)
{
    std::vector<char*> values = {program.data()};
    for (std::string& argument : arguments)
    {
        values.push_back(argument.data());
    }
    values.push_back(nullptr);
    this->id = ::fork();
    if (this->id == 0)
    {
        // A runner that is killed takes its processes with it.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        redirect(output_file, STDOUT_FILENO);
        redirect(error_file, STDERR_FILENO);
        ::execv(program.c_str(), values.data());
        ::_exit(not_started);
    }
}

child_process::~child_process()
{
    if (this->running())
    {
        ::kill(this->id, SIGKILL);
        this->reap(0);
    }
}

void child_process::signal(int number) const
{
    if (!this->ended_with.has_value())
    {
        ::kill(this->id, number);
    }
}

bool child_process::running()
{
    this->reap(WNOHANG);
    return !this->ended_with.has_value();
}

std::optional<int> child_process::wait(std::chrono::milliseconds patience)
{
    std::chrono::steady_clock::time_point const deadline =
        std::chrono::steady_clock::now() + patience;
    while (this->running() && std::chrono::steady_clock::now() < deadline)
    {
        std::this_thread::sleep_for(poll_pause);
    }
    return this->ended_with;
}

void child_process::reap(int options)
{
    if (this->ended_with.has_value())
    {
        return;
    }
    int status = 0;
    if (::waitpid(this->id, &status, options) == this->id)
    {
        this->ended_with = WIFEXITED(status) ? WEXITSTATUS(status)
                                             : signal_base + WTERMSIG(status);
    }
}

} // namespace bilberrylead::scenario
