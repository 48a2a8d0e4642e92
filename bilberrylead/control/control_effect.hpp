#ifndef BILBERRYLEAD_CONTROL_CONTROL_EFFECT_HPP
#define BILBERRYLEAD_CONTROL_CONTROL_EFFECT_HPP

#include "bilberrylead/agreement/effects/append_entries.hpp"
#include "bilberrylead/agreement/effects/persist_hard_state.hpp"
#include "bilberrylead/agreement/effects/persist_snapshot.hpp"
#include "bilberrylead/agreement/effects/role_changed.hpp"
#include "bilberrylead/agreement/effects/sync.hpp"
#include "bilberrylead/agreement/events/membership_change_requested.hpp"
#include "bilberrylead/control/operator_reply.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_position.hpp"
#include "bilberrylead/discovery/listing_delivery.hpp"
#include "bilberrylead/discovery/page_call.hpp"
#include "bilberrylead/link/message.hpp"
#include "bilberrylead/link/peer_callbacks.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bilberrylead::control
{

/// Send a message to a peer.
struct send_to_peer
{
    /// Link to send on.
    link::link_number link = 0;
    link::message content;
};

/// Send one message to several peers. It is encoded once, since encoding a
/// listing for each of hundreds of links would keep the leader busy for longer
/// than its delivery may take.
struct send_to_peers
{
    /// Links to send on.
    std::vector<link::link_number> links;
    link::message content;
};

/// Answer an operator.
struct answer_operator
{
    /// Number of the operator's request.
    std::uint64_t number = 0;
    operator_reply reply;
    /// The leader as this host last saw it; empty if unknown.
    host_id leader;
};

/// Keep a link open to each of these hosts: they are members of the group.
struct link_members
{
    /// The other members.
    std::vector<host_id> hosts;
};

/// Request a page of the upstream list. Answered by list_page_received or
/// list_call_failed.
struct call_upstream_list
{
    discovery::page_call call;
};

/// The listing of upstreams has changed. For the process log only.
struct listing_changed
{
    /// Position of the current listing.
    discovery::list_position position;
    /// Number of upstreams that were added or changed.
    std::size_t put = 0;
    /// Number of upstreams that were removed.
    std::size_t removed = 0;
    /// Number of upstreams in the listing.
    std::size_t upstreams = 0;
    /// Longest time for which the upstream list may have shown one of the
    /// changes; empty if it is unknown, or known only to the host that reads.
    std::optional<duration> max_age;
};

/// All entry hosts have confirmed a listing, or a newer one was sent before
/// they did. For the process log and the metrics only.
struct listing_delivered
{
    /// The listing and its confirmations.
    discovery::listing_delivery_report report;
};

/// A change is confirmed to an operator. For the process log and the metrics
/// only.
struct change_confirmed
{
    /// Revision that the confirmation stands for.
    revision number = 0;
    /// Entry hosts linked to this host.
    std::size_t hosts = 0;
    /// Number of them in which an older revision is in force.
    std::size_t hosts_behind = 0;
    /// One of these; empty if there is none.
    host_id behind;
    /// Time since the change was known to be committed.
    duration waited{};
};

/// All linked entry hosts have a revision in force, or a newer one was sent
/// before they did. For the process log and the metrics only.
struct revision_delivered
{
    /// The revision and its confirmations.
    delivery_report<revision> report;
};

/// The list of upstreams is read or delivered too slowly for a leaving upstream
/// to be out of use within its bound, or fast enough again. For the process log
/// only.
struct listing_budget_changed
{
    /// True if the bound can be kept.
    bool is_kept = true;
};

/// The replicated log has put orders in force. For the process log only.
struct orders_changed
{
    /// Revision of the orders.
    revision number = 0;
    /// The operator's version of the configuration.
    std::uint64_t version = 0;
    /// Number of zones that are closed.
    std::size_t closed_zones = 0;
};

/// A revision is in force. Callers are directed by the regions of its routes.
struct revision_in_force
{
    /// The document, as entry hosts receive it.
    std::shared_ptr<bytes const> document;
};

/// The leader proposes a membership change. For the process log only.
struct membership_planned
{
    /// The action and the host that it applies to.
    agreement::membership_change_requested change;
};

/// An operator allows a request to run again. For the process log only.
struct crash_record_lifted
{
    /// Digest of the request.
    std::uint64_t digest = 0;
    /// The operator who lifted the record.
    std::string operator_name;
};

/// What a control host wants done. Effects are carried out strictly in order:
/// no effect behind a sync may start before the sync has completed.
using control_effect =
    std::variant<agreement::persist_hard_state, agreement::append_entries,
                 agreement::persist_snapshot, agreement::sync,
                 agreement::role_changed, send_to_peer, send_to_peers,
                 answer_operator, link_members, call_upstream_list,
                 listing_changed, listing_delivered, listing_budget_changed,
                 change_confirmed, revision_delivered, orders_changed,
                 revision_in_force, membership_planned, crash_record_lifted>;

} // namespace bilberrylead::control

#endif
