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
    if (this->buffer.size() + line.size() + 1 > max_buffered_bytes)
    {
        this->flush();
    }
    if (this->buffer.size() + line.size() + 1 > max_buffered_bytes)
    {
        ++this->dropped_total;
        ++this->dropped_unreported;
        return;
    }
    if (this->dropped_unreported > 0)
    {
        this->buffer += fmt::format(R"({{"part":"log","lines_dropped":{}}})"
                                    "\n",
                                    this->dropped_unreported);
        this->dropped_unreported = 0;
    }
    this->buffer.append(line);
    this->buffer.push_back('\n');
    this->flush();
}

void log_sink::flush()
{
    while (!this->buffer.empty())
    {
        ssize_t const count =
            ::write(this->descriptor, this->buffer.data(), this->buffer.size());
        if (count > 0)
        {
            this->buffer.erase(0, static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        {
            // Any other error is permanent (for example EPIPE: the reader has
            // closed its end), so the buffered output can never be delivered.
            this->buffer.clear();
        }
        return;
    }
}

} // namespace bilberrylead
