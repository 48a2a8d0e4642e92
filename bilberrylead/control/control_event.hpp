#ifndef BILBERRYLEAD_CONTROL_CONTROL_EVENT_HPP
#define BILBERRYLEAD_CONTROL_CONTROL_EVENT_HPP

#include "bilberrylead/agreement/events/started.hpp"
#include "bilberrylead/control/operator_request.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_changes.hpp"
#include "bilberrylead/discovery/list_page.hpp"
#include "bilberrylead/link/message.hpp"
#include "bilberrylead/link/peer_callbacks.hpp"
#include "bilberrylead/link/peer_identity.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace bilberrylead::control
{

/// The process has started and has read its data folder. Always the first
/// event, and sent only once.
struct control_started
{
    /// The replica's state as recovered from the data folder.
    agreement::started recovered;
    /// The listing of upstreams stored before the restart, if any.
    std::optional<discovery::list_changes> listing = std::nullopt;
    /// The plan of the host's region stored before the restart, if any.
    std::optional<link::region_plan> plan = std::nullopt;
};

/// A link to a peer has opened.
struct peer_connected
{
    /// The new link.
    link::link_number link = 0;
    /// The peer at the other end.
    link::peer_identity peer;
};

/// A link has closed.
struct peer_disconnected
{
    /// The closed link.
    link::link_number link = 0;
};

/// A peer has sent a message.
struct peer_message
{
    /// Link that the message arrived on.
    link::link_number link = 0;
    /// The message.
    link::message content;
};

/// An operator has sent a request. It is answered exactly once, unless the
/// operator disconnects before.
struct operator_request_received
{
    /// Identifies the answer; never reused.
    std::uint64_t number = 0;
    /// The request.
    operator_request request;
    /// Wall-clock time of receipt, for the audit trail.
    wall_time received_at;
};

/// An operator has disconnected; the answer is no longer needed.
struct operator_disconnected
{
    /// Number of the operator's request.
    std::uint64_t number = 0;
};

/// Periodic timer event.
struct control_tick
{
};

/// A write or sync has failed: entries can no longer be made durable.
struct control_disk_failed
{
};

/// A page of the upstream list has been received.
struct list_page_received
{
    /// Number of the call that requested the page.
    std::uint64_t number = 0;
    /// The decoded page.
    discovery::list_page page;
};

/// A call to the upstream list has failed.
struct list_call_failed
{
    /// Number of the call.
    std::uint64_t number = 0;
};

/// Every event that a control host handles.
using control_event =
    std::variant<control_started, peer_connected, peer_disconnected,
                 peer_message, operator_request_received, operator_disconnected,
                 control_tick, control_disk_failed, list_page_received,
                 list_call_failed>;

} // namespace bilberrylead::control

#endif
