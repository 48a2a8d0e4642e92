#ifndef BILBERRYLEAD_CORE_LOG_LINE_HPP
#define BILBERRYLEAD_CORE_LOG_LINE_HPP

#include "bilberrylead/core/time.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrylead
{

/// Builds one structured log line, a JSON object, field by field.
class log_line
{
public:
    /// Starts the line of a part; `what` says what it tells of.
    log_line(std::string_view part, std::string_view event);

    /// Adds a text; any bytes may be in it.
    log_line& text(std::string_view name, std::string_view value);
    /// Adds a whole number.
    log_line& number(std::string_view name, std::int64_t value);
    /// Adds a number with three digits after the point.
    log_line& real(std::string_view name, double value);
    /// Adds a length of time in milliseconds; the name should end in _ms.
    log_line& time(std::string_view name, duration value);

    /// Writes it to the log.
    void write();

private:
    void name(std::string_view name);

    std::string content;
};

} // namespace bilberrylead

#endif
