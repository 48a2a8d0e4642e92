#ifndef BILBERRYLEAD_CONTROL_PENDING_REQUESTS_HPP
#define BILBERRYLEAD_CONTROL_PENDING_REQUESTS_HPP

#include "bilberrylead/link/peer_callbacks.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace bilberrylead::control
{

/// An operator is waiting for the answer.
struct waiting_operator
{
    /// Number of the operator's request.
    std::uint64_t number = 0;
};

/// An entry host is waiting for the result of its claim, report or
/// registration.
struct waiting_entry_host
{
    /// Link that the request arrived on.
    link::link_number link = 0;
    /// Number that the entry host gave the request; 0 for a registration.
    std::uint64_t number = 0;
};

/// Nobody is waiting: the leader made the proposal itself.
struct no_waiter
{
};

/// Who is waiting for the outcome of a proposal or read.
using waiter = std::variant<no_waiter, waiting_operator, waiting_entry_host>;

/// Tokens of the pending proposals and reads, and who is waiting for each.
class pending_requests
{
public:
    /// Adds a waiter and returns a new token for it.
    std::uint64_t add(waiter requester);

    /// Removes a token and returns its waiter; no_waiter if the token is
    /// unknown.
    waiter remove(std::uint64_t token);

private:
    std::uint64_t last_token = 0;
    std::map<std::uint64_t, waiter> waiters;
};

} // namespace bilberrylead::control

#endif
