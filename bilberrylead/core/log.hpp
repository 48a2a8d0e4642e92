#ifndef BILBERRYLEAD_CORE_LOG_HPP
#define BILBERRYLEAD_CORE_LOG_HPP

#include <fmt/format.h>

#include <cstdint>
#include <string_view>
#include <utility>

namespace bilberrylead
{

/// How much a log line matters to somebody who reads it at night.
enum class log_level
{
    /// For finding faults; off unless asked for.
    debug,
    /// A change of state that belongs to ordinary work.
    info,
    /// Something the system copes with, for now.
    warning,
    /// Something an operator has to see to.
    error,
};

/// Sets the lowest level that is written. Call once, before any thread
/// starts; the default is info.
void set_log_level(log_level level);

/// From now on a reader of standard output that stands still does not stop
/// this process: lines that it does not take are dropped and counted. For
/// daemons, at their start.
void make_log_non_blocking();

/// Writes one line, a whole JSON object, to standard output. Safe from every
/// thread; a line is written whole or not at all.
void write_log_line(std::string_view line);

/// Lines that were dropped, since nobody read them in time.
std::uint64_t dropped_log_lines();

/// Writes one line with wall time, level, part and a sentence.
void write_log(log_level level, std::string_view prefix,
               std::string_view sentence);

/// True if lines of this level are written.
bool log_enabled(log_level level);

/// The log of one part: every line carries the part's fixed prefix.
/// Cheap to copy; the prefix must outlive it (use a string literal).
class part_log
{
public:
    /// Makes the log of the part that `fixed_prefix` names.
    explicit constexpr part_log(std::string_view fixed_prefix)
        : prefix(fixed_prefix)
    {
    }

    /// Logs a short sentence for finding faults.
    template <class... Args>
    void debug(fmt::format_string<Args...> text, Args&&... args) const
    {
        this->write(log_level::debug, text, std::forward<Args>(args)...);
    }

    /// Logs a short sentence about an ordinary change of state.
    template <class... Args>
    void info(fmt::format_string<Args...> text, Args&&... args) const
    {
        this->write(log_level::info, text, std::forward<Args>(args)...);
    }

    /// Logs a short sentence about something the system copes with.
    template <class... Args>
    void warning(fmt::format_string<Args...> text, Args&&... args) const
    {
        this->write(log_level::warning, text, std::forward<Args>(args)...);
    }

    /// Logs a short sentence about something an operator has to see to.
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
