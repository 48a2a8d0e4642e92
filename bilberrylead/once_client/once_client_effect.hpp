#ifndef BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_EFFECT_HPP
#define BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_EFFECT_HPP

#include "bilberrylead/link/message.hpp"
#include "bilberrylead/link/peer_callbacks.hpp"
#include "bilberrylead/once/claim_verdict.hpp"
#include "bilberrylead/once_client/once_client_event.hpp"

#include <variant>

namespace bilberrylead::once_client
{

/// Send a message to a control host.
struct send_to_control
{
    /// Over which link.
    link::link_number link = 0;
    /// What to send.
    link::message content;
};

/// The claim of a request is decided. Said exactly once for each.
struct claim_decided
{
    /// The request.
    local_request_id request = 0;
    /// What became of it.
    once::claim_verdict verdict;
};

/// The answer of a request is on record.
struct completion_recorded
{
    /// The request.
    local_request_id request = 0;
};

/// Whether claims can be had now has changed.
struct reachability_changed
{
    /// True if a leader is linked and knows this incarnation.
    bool reachable = false;
};

/// What a once_client wants done.
using once_client_effect =
    std::variant<send_to_control, claim_decided, completion_recorded,
                 reachability_changed>;

} // namespace bilberrylead::once_client

#endif
