#include "bilberrylead/core/log.hpp"

#include "bilberrylead/core/time.hpp"

#include <fmt/chrono.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdio>
#include <string>

namespace bilberrylead
{

namespace
{

std::atomic<log_level> lowest_level{log_level::info};

constexpr std::array<std::string_view, 4> level_names = {"debug", "info",
                                                         "warning", "error"};

} // namespace

void set_log_level(log_level lowest)
{
    lowest_level = lowest;
}

bool log_enabled(log_level level)
{
    return level >= lowest_level.load(std::memory_order_relaxed);
}

void write_log(log_level level, std::string_view prefix,
               std::string_view sentence)
{
    wall_time const now = std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    std::string const line = fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}Z {} {}: {}\n", now,
        level_names.at(static_cast<std::size_t>(level)), prefix, sentence);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace bilberrylead
