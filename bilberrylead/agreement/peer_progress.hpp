#ifndef BILBERRYLEAD_AGREEMENT_PEER_PROGRESS_HPP
#define BILBERRYLEAD_AGREEMENT_PEER_PROGRESS_HPP

#include "bilberrylead/agreement/member.hpp"
#include "bilberrylead/agreement/snapshot.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace bilberrylead::agreement
{

/// What a leader knows of another member's log.
struct peer_progress
{
    /// The member, in the incarnation that counts.
    agreement::member member;
    /// Index of the next entry to send.
    std::uint64_t next_index = 1;
    /// Last index that is known to agree, durably.
    std::uint64_t match_index = 0;
    /// True while the place to go on from is being looked for: one append
    /// at a time.
    bool probing = false;
    /// Latest round it answered; 0 if none.
    std::uint64_t acked_round = 0;
    /// When that round was sent.
    std::optional<instant> acked_send_time;
    /// When this leader first counted it among the members.
    instant listed_at;
    /// When its last answer arrived.
    std::optional<instant> last_reply_at;
    /// The snapshot under way to it, if any.
    std::shared_ptr<snapshot const> outgoing_snapshot;
    /// How much of it has arrived, in bytes.
    std::uint64_t snapshot_offset = 0;
    /// When the last chunk was sent.
    instant chunk_sent_at;
    /// A greater incarnation than the listed one that answered; 0 if none.
    std::uint64_t newer_incarnation = 0;
};

} // namespace bilberrylead::agreement

#endif
