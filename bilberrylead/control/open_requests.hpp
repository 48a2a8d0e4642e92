#ifndef BILBERRYLEAD_CONTROL_OPEN_REQUESTS_HPP
#define BILBERRYLEAD_CONTROL_OPEN_REQUESTS_HPP

#include "bilberrylead/link/peer_callbacks.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace bilberrylead::control
{

/// An operator waits for the answer.
struct operator_waits
{
    /// The request's number.
    std::uint64_t number = 0;
};

/// An entry host waits for the verdict on its claim or report.
struct entry_host_waits
{
    /// Over which link the request came.
    link::link_number link = 0;
    /// The entry host's own number for it, 0 for a registration.
    std::uint64_t number = 0;
};

/// Nobody waits: the leader's own proposal.
struct nobody_waits
{
};

/// Who waits for the outcome of a proposal or read.
using waiter = std::variant<nobody_waits, operator_waits, entry_host_waits>;

/// Tokens of proposals and reads that are open, and who waits for each.
class open_requests
{
public:
    /// Gives out a new token for a waiter.
    std::uint64_t add(waiter who);

    /// Ends a token and tells who waited; nobody for an unknown one.
    waiter take(std::uint64_t token);

private:
    std::uint64_t last_token = 0;
    std::map<std::uint64_t, waiter> waiters;
};

} // namespace bilberrylead::control

#endif
