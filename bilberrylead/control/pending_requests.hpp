#ifndef BILBERRYLEAD_CONTROL_PENDING_REQUESTS_HPP
#define BILBERRYLEAD_CONTROL_PENDING_REQUESTS_HPP

#include "bilberrylead/link/peer_callbacks.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace bilberrylead::control
{

/// An operator waits for the answer.
struct waiting_operator
{
    /// The request's number.
    std::uint64_t number = 0;
};

/// An entry host waits for the verdict on its claim or report.
struct waiting_entry_host
{
    /// Over which link the request came.
    link::link_number link = 0;
    /// The entry host's own number for it, 0 for a registration.
    std::uint64_t number = 0;
};

/// Nobody waits: the leader's own proposal.
struct no_waiter
{
};

/// Who waits for the outcome of a proposal or read.
using waiter = std::variant<no_waiter, waiting_operator, waiting_entry_host>;

/// Tokens of proposals and reads that are open, and who waits for each.
class pending_requests
{
public:
    /// Gives out a new token for a waiter.
    std::uint64_t add(waiter requester);

    /// Ends a token and tells who waited; nobody for an unknown one.
    waiter remove(std::uint64_t token);

private:
    std::uint64_t last_token = 0;
    std::map<std::uint64_t, waiter> waiters;
};

} // namespace bilberrylead::control

#endif
