#ifndef BILBERRYLEAD_CONTROL_CONTROL_EFFECT_HPP
#define BILBERRYLEAD_CONTROL_CONTROL_EFFECT_HPP

#include "bilberrylead/agreement/effects/append_entries.hpp"
#include "bilberrylead/agreement/effects/persist_hard_state.hpp"
#include "bilberrylead/agreement/effects/persist_snapshot.hpp"
#include "bilberrylead/agreement/effects/role_changed.hpp"
#include "bilberrylead/agreement/effects/sync.hpp"
#include "bilberrylead/control/operator_reply.hpp"
#include "bilberrylead/link/message.hpp"
#include "bilberrylead/link/peer_callbacks.hpp"

#include <cstdint>
#include <variant>

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
};

/// What a control host wants done, strictly in order: nothing after a sync
/// before the sync is through.
using control_effect =
    std::variant<agreement::persist_hard_state, agreement::append_entries,
                 agreement::persist_snapshot, agreement::sync,
                 agreement::role_changed, send_to_peer, answer_operator>;

} // namespace bilberrylead::control

#endif
