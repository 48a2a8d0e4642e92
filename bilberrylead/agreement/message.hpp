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

/// What a message says; encoded by its place here, so append only.
using message_body =
    std::variant<pre_vote_request, pre_vote_reply, vote_request, vote_reply,
                 append_request, append_reply, install_snapshot_request,
                 install_snapshot_reply, timeout_now>;

/// What replicas send one another. May be lost, repeated, reordered or
/// delayed without bound.
struct message
{
    /// The sender's term.
    std::uint64_t term = 0;
    /// The sender's incarnation; an older one than the receiver knows of
    /// is a host's former self and is not listened to.
    std::uint64_t incarnation = 0;
    /// The message proper.
    message_body body;

    friend bool operator==(message const&, message const&) = default;
};

} // namespace bilberrylead::agreement

#endif
