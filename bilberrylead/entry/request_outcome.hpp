#ifndef BILBERRYLEAD_ENTRY_REQUEST_OUTCOME_HPP
#define BILBERRYLEAD_ENTRY_REQUEST_OUTCOME_HPP

#include <cstdint>
#include <string_view>

namespace bilberrylead::entry
{

/// How a request ended for its caller.
enum class request_outcome : std::uint8_t
{
    /// With an upstream's answer, or the record of one.
    answered,
    /// "Not run": it did not run and never will.
    not_run,
    /// Nobody can say whether it ran.
    unknown,
    /// Refused for what it is.
    problem,
    /// Its caller had gone.
    caller_gone,
    /// The upstream's answer broke off after it had begun.
    broken_off,
};

/// The outcome's name in logs.
constexpr std::string_view to_string(request_outcome outcome)
{
    switch (outcome)
    {
    case request_outcome::answered:
        return "answered";
    case request_outcome::not_run:
        return "not_run";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::problem:
        return "problem";
    case request_outcome::caller_gone:
        return "caller_gone";
    case request_outcome::broken_off:
        return "broken_off";
    }
    return "";
}

} // namespace bilberrylead::entry

#endif
