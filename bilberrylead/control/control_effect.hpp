#ifndef BILBERRYLEAD_CONTROL_CONTROL_EFFECT_HPP
#define BILBERRYLEAD_CONTROL_CONTROL_EFFECT_HPP

#include "bilberrylead/agreement/effects/append_entries.hpp"
#include "bilberrylead/agreement/effects/persist_hard_state.hpp"
#include "bilberrylead/agreement/effects/persist_snapshot.hpp"
#include "bilberrylead/agreement/effects/role_changed.hpp"
#include "bilberrylead/agreement/effects/sync.hpp"
#include "bilberrylead/agreement/events/membership_change_requested.hpp"
#include "bilberrylead/control/operator_reply.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/discovery/list_position.hpp"
#include "bilberrylead/discovery/page_call.hpp"
#include "bilberrylead/link/message.hpp"
#include "bilberrylead/link/peer_callbacks.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bilberrylead::control
{

/// Send a message to a peer.
struct send_to_peer
{
    /// Over which link.
    link::link_number link = 0;
    /// What to send.
    link::message content;
};

/// Answer an operator.
struct answer_operator
{
    /// The request's number.
    std::uint64_t number = 0;
    /// The answer.
    operator_reply reply;
    /// Who leads, as far as this host knows; empty if it does not.
    host_id leader;
};

/// Keep a link to each of these hosts: they take part in the group.
struct link_members
{
    /// The other members.
    std::vector<host_id> hosts;
};

/// Ask for a page of the list of upstreams; list_page_came or
/// list_call_failed follows.
struct call_upstream_list
{
    /// The call.
    discovery::page_call call;
};

/// What is believed of the upstreams has changed: for the log.
struct listing_changed
{
    /// The listing that is held now.
    discovery::list_position position;
    /// Upstreams that are new or differ.
    std::size_t put = 0;
    /// Upstreams that are gone.
    std::size_t removed = 0;
    /// Upstreams in all.
    std::size_t upstreams = 0;
};

/// An order is in force by the log: for the log of this process.
struct orders_changed
{
    /// Number of the state.
    revision number = 0;
    /// Version of the configuration.
    std::uint64_t version = 0;
    /// Zones that are closed.
    std::size_t closed_zones = 0;
};

/// The leader asks for a change of membership: for the log.
struct membership_planned
{
    /// What is to be done, and to whom.
    agreement::membership_change_requested change;
};

/// An operator lets a request run again: for the log.
struct crash_record_lifted
{
    /// The request's digest.
    std::uint64_t digest = 0;
    /// Who asked.
    std::string operator_name;
};

/// What a control host wants done, strictly in order: nothing after a sync
/// before the sync is through.
using control_effect =
    std::variant<agreement::persist_hard_state, agreement::append_entries,
                 agreement::persist_snapshot, agreement::sync,
                 agreement::role_changed, send_to_peer, answer_operator,
                 link_members, call_upstream_list, listing_changed,
                 orders_changed, membership_planned, crash_record_lifted>;

} // namespace bilberrylead::control

#endif
