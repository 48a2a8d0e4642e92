#include "bilberrylead/core/log.hpp"

#include "bilberrylead/core/log_line.hpp"
#include "bilberrylead/core/log_sink.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <mutex>
#include <unistd.h>

namespace bilberrylead
{

namespace
{

std::atomic<log_level> min_level{log_level::info};

std::mutex& output_mutex()
{
    static std::mutex mutex;
    return mutex;
}

log_sink& output()
{
    static log_sink sink(STDOUT_FILENO);
    return sink;
}

constexpr std::array<std::string_view, 4> level_names = {"debug", "info",
                                                         "warning", "error"};

} // namespace

void set_log_level(log_level level)
{
    min_level = level;
}

bool log_enabled(log_level level)
{
    return level >= min_level.load(std::memory_order_relaxed);
}

void make_log_non_blocking()
{
    std::lock_guard<std::mutex> const lock(output_mutex());
    output().make_non_blocking();
}

void write_log_line(std::string_view line)
{
    std::lock_guard<std::mutex> const lock(output_mutex());
    output().write(line);
}

std::uint64_t dropped_log_lines()
{
    std::lock_guard<std::mutex> const lock(output_mutex());
    return output().dropped();
}

void write_log(log_level level, std::string_view prefix,
               std::string_view sentence)
{
    log_line(prefix, "says")
        .text("level", level_names.at(static_cast<std::size_t>(level)))
        .text("sentence", sentence)
        .write();
}

} // namespace bilberrylead
