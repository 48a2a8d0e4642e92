#ifndef BILBERRYLEAD_CORE_LOG_HPP
#define BILBERRYLEAD_CORE_LOG_HPP

#include <fmt/format.h>

#include <cstdint>
#include <string_view>
#include <utility>

namespace bilberrylead
{

/// Severity of a log line, by the attention that it needs from an operator.
enum class log_level
{
    /// Diagnostic detail; off by default.
    debug,
    /// A change of state in normal operation.
    info,
    /// A condition that the system tolerates at present.
    warning,
    /// A condition that requires action by an operator.
    error,
};

/// Sets the lowest level that is written; the default is info. Call once,
/// before any thread starts.
void set_log_level(log_level level);

/// Makes standard output non-blocking, so that a stalled reader does not block
/// this process: lines beyond the buffer are dropped and counted. Daemons call
/// it at start.
void make_log_non_blocking();

/// Writes one line, a complete JSON object, to standard output. Thread-safe. A
/// line is accepted in full or dropped, never interleaved with another.
void write_log_line(std::string_view line);

/// Number of lines dropped since process start because the reader of standard
/// output was too slow.
std::uint64_t dropped_log_lines();

/// Writes one line with the wall time, the level, `prefix` as the part, and
/// the sentence.
void write_log(log_level level, std::string_view prefix,
               std::string_view sentence);

/// True if lines of this level are written.
bool log_enabled(log_level level);

/// Logger of one part of the system: every line carries the part's fixed
/// prefix. Cheap to copy. The prefix is not copied and must outlive the logger
/// (use a string literal).
class part_log
{
public:
    /// Makes the logger of the part that `fixed_prefix` names.
    explicit constexpr part_log(std::string_view fixed_prefix)
        : prefix(fixed_prefix)
    {
    }

    /// Logs a short sentence of diagnostic detail.
    template <class... Args>
    void debug(fmt::format_string<Args...> text, Args&&... args) const
    {
        this->write(log_level::debug, text, std::forward<Args>(args)...);
    }

    /// Logs a short sentence about a change of state in normal operation.
    template <class... Args>
    void info(fmt::format_string<Args...> text, Args&&... args) const
    {
        this->write(log_level::info, text, std::forward<Args>(args)...);
    }

    /// Logs a short sentence about a condition that the system tolerates.
    template <class... Args>
    void warning(fmt::format_string<Args...> text, Args&&... args) const
    {
        this->write(log_level::warning, text, std::forward<Args>(args)...);
    }

    /// Logs a short sentence about a condition that requires action by an
    /// operator.
    template <class... Args>
    void error(fmt::format_string<Args...> text, Args&&... args) const
    {
        this->write(log_level::error, text, std::forward<Args>(args)...);
    }

private:
    template <class... Args>
    void write(log_level level, fmt::format_string<Args...> text,
               Args&&... args) const
    {
        if (log_enabled(level))
        {
            write_log(level, this->prefix,
                      fmt::format(text, std::forward<Args>(args)...));
        }
    }

    std::string_view prefix;
};

} // namespace bilberrylead

#endif
