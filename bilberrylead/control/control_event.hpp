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

/// The process is up and its data folder read. The first event, once only.
struct control_started
{
    /// What the data folder held.
    agreement::started recovered;
    /// The upstreams as they were listed before, if that is remembered.
    std::optional<discovery::list_changes> listing = std::nullopt;
    /// The plan of its region, if that is remembered.
    std::optional<link::region_plan> plan = std::nullopt;
};

/// A link to a peer is open.
struct peer_connected
{
    /// Which one.
    link::link_number link = 0;
    /// Who is at the other end.
    link::peer_identity peer;
};

/// A link is gone.
struct peer_disconnected
{
    /// Which one.
    link::link_number link = 0;
};

/// A peer said something.
struct peer_message
{
    /// Over which link.
    link::link_number link = 0;
    /// What it said.
    link::message content;
};

/// An operator asks for something; answered exactly once.
struct operator_request_received
{
    /// Number for the answer, never used again.
    std::uint64_t number = 0;
    /// What is asked.
    operator_request request;
    /// Wall time, for the audit trail.
    wall_time received_at;
};

/// An operator went away; the answer is no longer wanted.
struct operator_disconnected
{
    /// The request's number.
    std::uint64_t number = 0;
};

/// Time has passed.
struct control_tick
{
};

/// A write or sync failed: the log can promise nothing any more.
struct control_disk_failed
{
};

/// A page of the list of upstreams came.
struct list_page_received
{
    /// Number of the call.
    std::uint64_t number = 0;
    /// What it holds.
    discovery::list_page page;
};

/// A call to the list of upstreams failed.
struct list_call_failed
{
    /// Number of the call.
    std::uint64_t number = 0;
};

/// Everything that can happen to a control host.
using control_event =
    std::variant<control_started, peer_connected, peer_disconnected,
                 peer_message, operator_request_received, operator_disconnected,
                 control_tick, control_disk_failed, list_page_received,
                 list_call_failed>;

} // namespace bilberrylead::control

#endif
