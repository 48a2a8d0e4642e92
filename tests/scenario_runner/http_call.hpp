#ifndef BILBERRYLEAD_SCENARIO_RUNNER_HTTP_CALL_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_HTTP_CALL_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace bilberrylead::scenario
{

/// An answer to a call, or what went wrong.
struct call_result
{
    /// HTTP status; 0 if there was no answer.
    unsigned status = 0;
    /// The body.
    std::string body;
};

/// Calls a port on loopback once, with a time limit for all of it.
call_result
call(std::uint16_t port, std::string const& method, std::string const& target,
     std::string const& body = {},
     std::map<std::string, std::string> const& headers = {},
     std::chrono::milliseconds patience = std::chrono::milliseconds(2000));

} // namespace bilberrylead::scenario

#endif
