#ifndef BILBERRYLEAD_CORE_LOG_SINK_HPP
#define BILBERRYLEAD_CORE_LOG_SINK_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrylead
{

/// Writes lines to a file descriptor and never waits for its reader. A
/// reader that stands still would otherwise stop the process in the middle
/// of a request. What the reader does not take is kept up to a bound; lines
/// beyond it are dropped and counted, and the count is a line of its own
/// once there is room. One thread at a time.
class log_sink
{
public:
    /// Writes to a descriptor that it does not own. For never waiting, the
    /// descriptor must be non-blocking (see make_non_blocking).
    explicit log_sink(int descriptor);

    /// Sets the descriptor to non-blocking; false if that is refused.
    bool make_non_blocking();

    /// Takes one line, without its end, and writes what can be written.
    void write(std::string_view line);

    /// Writes what can be written.
    void flush();

    /// Lines dropped since the start.
    std::uint64_t dropped() const
    {
        return this->dropped_total;
    }

private:
    /// Bytes kept for a slow reader: about a thousand lines.
    static constexpr std::size_t max_buffered_bytes = std::size_t{256} << 10U;

    int descriptor;
    std::string buffer;
    std::uint64_t dropped_total = 0;
    std::uint64_t dropped_unreported = 0;
};

} // namespace bilberrylead

#endif
