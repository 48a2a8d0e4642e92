#ifndef BILBERRYLEAD_ENTRY_LIMIT_USE_HPP
#define BILBERRYLEAD_ENTRY_LIMIT_USE_HPP

#include "bilberrylead/core/time.hpp"

#include <optional>

namespace bilberrylead::entry
{

/// What a host knew of an upstream's rate limit when it sent a request. For
/// the log.
struct limit_use
{
    /// Limit in requests per second from all entry hosts.
    double per_second = 0;
    /// Tokens before the request; negative after too many requests.
    double tokens = 0;
    /// Time since the last report of another host; empty before the first.
    std::optional<duration> report_age;
    /// Probability, from 0 to 1, with which the host used the tokens.
    double probability = 1;
};

} // namespace bilberrylead::entry

#endif
