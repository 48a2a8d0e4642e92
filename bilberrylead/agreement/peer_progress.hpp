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

/// A leader's view of another member's log.
struct peer_progress
{
    /// The member, in the incarnation listed in the membership.
    agreement::member member;
    /// Index of the next entry to send.
    std::uint64_t next_index = 1;
    /// Last index known to match the leader's log durably.
    std::uint64_t match_index = 0;
    /// Highest index that it is known to know as committed.
    std::uint64_t commit_index = 0;
    /// True while the leader searches for the last matching index: one append
    /// at a time.
    bool probing = false;
    /// Latest round it replied to; 0 if none.
    std::uint64_t acked_round = 0;
    /// When that round was sent; the lease counts from here.
    std::optional<instant> acked_send_time;
    /// When this leader first listed the member.
    instant listed_at;
    /// When its last reply arrived.
    std::optional<instant> last_reply_at;
    /// The snapshot being transferred to it, or nullptr.
    std::shared_ptr<snapshot const> outgoing_snapshot;
    /// Bytes of that snapshot that it has received.
    std::uint64_t snapshot_offset = 0;
    /// When the last chunk was sent.
    instant chunk_sent_at;
    /// Incarnation of a reply from the same host that is newer than the listed
    /// one; 0 if none.
    std::uint64_t newer_incarnation = 0;
};

} // namespace bilberrylead::agreement

#endif
