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
    /// The link to send over.
    link::link_number link = 0;
    /// The message.
    link::message content;
};

/// The claim of a request is decided. Emitted exactly once per
/// claim_requested.
struct claim_decided
{
    /// The request.
    local_request_id request = 0;
    /// The verdict of the control hosts, or a refusal by this client.
    once::claim_verdict verdict;
};

/// A control host replied to the completion report of a request.
struct completion_recorded
{
    /// The request.
    local_request_id request = 0;
};

/// The result of once_client::reachable() has changed.
struct reachability_changed
{
    /// True if a link to the leader is open and a leader has registered this
    /// incarnation.
    bool reachable = false;
};

/// The effects of once_client::reduce(), for its owner to carry out.
using once_client_effect =
    std::variant<send_to_control, claim_decided, completion_recorded,
                 reachability_changed>;

} // namespace bilberrylead::once_client

#endif
