#include "bilberrylead/core/log_line.hpp"

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/core/process_clock.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <iterator>

namespace bilberrylead
{

namespace
{

void append_escaped(std::string& output, std::string_view value)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char first_non_printable = 0x7f;
    for (char const character : value)
    {
        unsigned char const code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\')
        {
            output.push_back('\\');
            output.push_back(character);
        }
        else if (code < first_printable || code >= first_non_printable)
        {
            fmt::format_to(std::back_inserter(output), "\\u{:04x}", code);
        }
        else
        {
            output.push_back(character);
        }
    }
}

} // namespace

log_line::log_line(std::string_view part, std::string_view event)
{
    wall_time const now = wall_clock_now();
    std::chrono::sys_seconds const second =
        std::chrono::floor<std::chrono::seconds>(now);
    // Library versions differ in whether %S writes parts of a second.
    this->content = fmt::format(
        R"({{"at":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","part":"{}","what":"{}")",
        fmt::gmtime(std::chrono::system_clock::to_time_t(second)),
        (now - second).count(), part, event);
}

void log_line::name(std::string_view name)
{
    this->content += ",\"";
    this->content.append(name);
    this->content += "\":";
}

log_line& log_line::text(std::string_view name, std::string_view value)
{
    this->name(name);
    this->content.push_back('"');
    append_escaped(this->content, value);
    this->content.push_back('"');
    return *this;
}

log_line& log_line::number(std::string_view name, std::int64_t value)
{
    this->name(name);
    fmt::format_to(std::back_inserter(this->content), "{}", value);
    return *this;
}

log_line& log_line::real(std::string_view name, double value)
{
    this->name(name);
    fmt::format_to(std::back_inserter(this->content), "{:.3f}", value);
    return *this;
}

log_line& log_line::time(std::string_view name, duration value)
{
    return this->real(name,
                      std::chrono::duration<double, std::milli>(value).count());
}

void log_line::write()
{
    this->content.push_back('}');
    write_log_line(this->content);
}

} // namespace bilberrylead
