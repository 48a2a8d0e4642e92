#include "bilberrylead/core/log_sink.hpp"

#include <fmt/format.h>

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace bilberrylead
{

log_sink::log_sink(int target) : descriptor(target)
{
}

bool log_sink::make_non_blocking()
{
    int const flags = ::fcntl(this->descriptor, F_GETFL);
    return flags >= 0 &&
           ::fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK) == 0;
}

void log_sink::write(std::string_view line)
{
    if (this->kept.size() + line.size() + 1 > most_kept)
    {
        this->flush();
    }
    if (this->kept.size() + line.size() + 1 > most_kept)
    {
        ++this->dropped_in_all;
        ++this->dropped_untold;
        return;
    }
    if (this->dropped_untold > 0)
    {
        this->kept += fmt::format(R"({{"part":"log","lines_dropped":{}}})"
                                  "\n",
                                  this->dropped_untold);
        this->dropped_untold = 0;
    }
    this->kept.append(line);
    this->kept.push_back('\n');
    this->flush();
}

void log_sink::flush()
{
    while (!this->kept.empty())
    {
        ssize_t const count =
            ::write(this->descriptor, this->kept.data(), this->kept.size());
        if (count > 0)
        {
            this->kept.erase(0, static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        {
            // Nobody will ever read it: the reader is gone.
            this->kept.clear();
        }
        return;
    }
}

} // namespace bilberrylead
