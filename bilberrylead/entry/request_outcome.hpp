#ifndef BILBERRYLEAD_ENTRY_REQUEST_OUTCOME_HPP
#define BILBERRYLEAD_ENTRY_REQUEST_OUTCOME_HPP

#include <cstdint>
#include <string_view>

namespace bilberrylead::entry
{

/// How a request ended for its caller.
enum class request_outcome : std::uint8_t
{
    /// Answered by an upstream or from the record of its answer.
    answered,
    /// The request was not run and will not be run.
    not_run,
    /// Whether the request ran cannot be determined.
    unknown,
    /// The request itself was refused.
    problem,
    /// The caller had disconnected.
    caller_gone,
    /// The upstream's answer ended prematurely.
    broken_off,
};

/// Name of the outcome in logs.
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
