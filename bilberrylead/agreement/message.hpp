#ifndef BILBERRYLEAD_AGREEMENT_MESSAGE_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGE_HPP

#include "bilberrylead/agreement/messages/append_reply.hpp"
#include "bilberrylead/agreement/messages/append_request.hpp"
#include "bilberrylead/agreement/messages/install_snapshot_reply.hpp"
#include "bilberrylead/agreement/messages/install_snapshot_request.hpp"
#include "bilberrylead/agreement/messages/pre_vote_reply.hpp"
#include "bilberrylead/agreement/messages/pre_vote_request.hpp"
#include "bilberrylead/agreement/messages/timeout_now.hpp"
#include "bilberrylead/agreement/messages/vote_reply.hpp"
#include "bilberrylead/agreement/messages/vote_request.hpp"

#include <cstdint>
#include <variant>

namespace bilberrylead::agreement
{

/// Message payload. The alternative's index is the encoding, so only append to
/// this list.
using message_body =
    std::variant<pre_vote_request, pre_vote_reply, vote_request, vote_reply,
                 append_request, append_reply, install_snapshot_request,
                 install_snapshot_reply, timeout_now>;

/// A message between replicas. It may be lost, duplicated, reordered or delayed
/// without bound.
struct message
{
    /// The sender's term.
    std::uint64_t term = 0;
    /// The sender's incarnation. A message from an older incarnation than the
    /// one listed for the host is ignored.
    std::uint64_t incarnation = 0;
    /// The payload.
    message_body body;

    friend bool operator==(message const&, message const&) = default;
};

} // namespace bilberrylead::agreement

#endif
