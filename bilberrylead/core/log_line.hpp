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
    /// Starts a line of the part `part`; `event` names what is logged. Both
    /// are written without escaping.
    log_line(std::string_view part, std::string_view event);

    /// Adds a text field. `value` may hold any bytes; it is escaped.
    log_line& text(std::string_view name, std::string_view value);
    /// Adds an integer field.
    log_line& number(std::string_view name, std::int64_t value);
    /// Adds a number field with three decimal places.
    log_line& real(std::string_view name, double value);
    /// Adds a duration in milliseconds with three decimal places; the name
    /// should end in _ms.
    log_line& time(std::string_view name, duration value);

    /// Ends the line and writes it to the log. Call once, last.
    void write();

private:
    void name(std::string_view name);

    std::string content;
};

} // namespace bilberrylead

#endif
