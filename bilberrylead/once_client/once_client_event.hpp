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

/// The entry host's own number of a request; never used twice by a process.
using local_request_id = std::uint64_t;

/// A link to a control host is open.
struct control_link_opened
{
    /// Which one.
    link::link_number link = 0;
    /// Which control host.
    host_id host;
};

/// A link is gone.
struct control_link_closed
{
    /// Which one.
    link::link_number link = 0;
};

/// A control host said who leads.
struct leader_notice_received
{
    /// Over which link.
    link::link_number link = 0;
    /// What it said.
    link::leader_notice content;
};

/// A control host answered a registration.
struct registration_reply_received
{
    /// What it said.
    link::registration_reply content;
};

/// A control host answered a claim.
struct claim_reply_received
{
    /// What it said.
    link::claim_reply content;
};

/// A control host answered a report.
struct settle_reply_received
{
    /// What it said.
    link::settle_reply content;
};

/// A request needs its claim before it is forwarded.
struct claim_requested
{
    /// The request.
    local_request_id request = 0;
    /// What it would run.
    once::claim_key key;
    /// Digest of method, target and body.
    std::uint64_t body_digest = 0;
};

/// A claimed request ended with an answer.
struct completion_reported
{
    /// The request.
    local_request_id request = 0;
    /// What it ran.
    once::claim_key key;
    /// What the upstream answered.
    once::recorded_answer answer;
};

/// A claimed request was not run and will not be.
struct release_requested
{
    /// The request.
    local_request_id request = 0;
    /// What it did not run.
    once::claim_key key;
};

/// A claimed request may have run, and its answer is lost.
struct unknown_outcome_reported
{
    /// The request.
    local_request_id request = 0;
    /// What it may have run.
    once::claim_key key;
};

/// Time has passed.
struct client_tick
{
};

/// Everything that can happen to a once_client.
using once_client_event =
    std::variant<control_link_opened, control_link_closed,
                 leader_notice_received, registration_reply_received,
                 claim_reply_received, settle_reply_received, claim_requested,
                 completion_reported, release_requested,
                 unknown_outcome_reported, client_tick>;

} // namespace bilberrylead::once_client

#endif
