#ifndef BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_EVENT_HPP
#define BILBERRYLEAD_ONCE_CLIENT_ONCE_CLIENT_EVENT_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/link/messages/claim_reply.hpp"
#include "bilberrylead/link/messages/leader_notice.hpp"
#include "bilberrylead/link/messages/registration_reply.hpp"
#include "bilberrylead/link/messages/settle_reply.hpp"
#include "bilberrylead/link/peer_callbacks.hpp"
#include "bilberrylead/once/claim_key.hpp"
#include "bilberrylead/once/recorded_answer.hpp"

#include <cstdint>
#include <variant>

namespace bilberrylead::once_client
{

/// Number of a request on this entry host; never reused within a process.
using local_request_id = std::uint64_t;

/// A link to a control host is open.
struct control_link_opened
{
    /// The link.
    link::link_number link = 0;
    /// The control host at the other end.
    host_id host;
};

/// A link to a control host has closed.
struct control_link_closed
{
    /// The link.
    link::link_number link = 0;
};

/// A control host reported which host is the leader.
struct leader_notice_received
{
    /// The link that it arrived on.
    link::link_number link = 0;
    /// The message.
    link::leader_notice content;
};

/// A control host replied to a registration.
struct registration_reply_received
{
    /// The message.
    link::registration_reply content;
};

/// A control host replied to a claim.
struct claim_reply_received
{
    /// The message.
    link::claim_reply content;
};

/// A control host replied to a completion, release or unknown outcome.
struct settle_reply_received
{
    /// The message.
    link::settle_reply content;
};

/// A request needs a claim before it can be forwarded.
struct claim_requested
{
    /// The request.
    local_request_id request = 0;
    /// The key of the work to run.
    once::claim_key key;
    /// Digest of method, target and body.
    std::uint64_t body_digest = 0;
};

/// A claimed request ended with an answer.
struct completion_reported
{
    /// The request.
    local_request_id request = 0;
    /// The key of the work that ran.
    once::claim_key key;
    /// The upstream's answer.
    once::recorded_answer answer;
};

/// A claimed request was not run and will not be.
struct release_requested
{
    /// The request.
    local_request_id request = 0;
    /// The key of the work that did not run.
    once::claim_key key;
};

/// A claimed request may have run, and its answer is lost.
struct unknown_outcome_reported
{
    /// The request.
    local_request_id request = 0;
    /// The key of the work that may have run.
    once::claim_key key;
};

/// Periodic timer; triggers resends and time-outs.
struct client_tick
{
};

/// The events that once_client::reduce() accepts.
using once_client_event =
    std::variant<control_link_opened, control_link_closed,
                 leader_notice_received, registration_reply_received,
                 claim_reply_received, settle_reply_received, claim_requested,
                 completion_reported, release_requested,
                 unknown_outcome_reported, client_tick>;

} // namespace bilberrylead::once_client

#endif
