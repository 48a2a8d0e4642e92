#ifndef BILBERRYLEAD_CORE_LOG_SINK_HPP
#define BILBERRYLEAD_CORE_LOG_SINK_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrylead
{

/// Writes lines to a file descriptor without waiting for its reader. With
/// blocking writes, a stalled reader would stop the process in the middle of a
/// request. Unwritten output is buffered up to max_buffered_bytes. Lines beyond
/// that are dropped and counted, and the count is written as a line of its own
/// once the buffer has free capacity. Not thread-safe.
class log_sink
{
public:
    /// Writes to `descriptor`, which the caller owns and which must outlive the
    /// sink. Writes block unless the descriptor is non-blocking (see
    /// make_non_blocking).
    explicit log_sink(int descriptor);

    /// Sets the descriptor to non-blocking mode; false if the system refuses.
    bool make_non_blocking();

    /// Buffers one line, given without its line break, and flushes. Drops the
    /// line if the buffer is full.
    void write(std::string_view line);

    /// Writes as much of the buffer as the descriptor accepts.
    void flush();

    /// Number of lines dropped since construction.
    std::uint64_t dropped() const
    {
        return this->dropped_total;
    }

private:
    /// Buffer for a slow reader; holds about a thousand lines.
    static constexpr std::size_t max_buffered_bytes = std::size_t{256} << 10U;

    int descriptor;
    std::string buffer;
    std::uint64_t dropped_total = 0;
    std::uint64_t dropped_unreported = 0;
};

} // namespace bilberrylead

#endif
