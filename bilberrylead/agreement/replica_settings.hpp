#ifndef BILBERRYLEAD_AGREEMENT_REPLICA_SETTINGS_HPP
#define BILBERRYLEAD_AGREEMENT_REPLICA_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace bilberrylead::agreement
{

/// Timing and limits of a replica. The same at every member of a group.
struct replica_settings
{
    /// A voter denies votes within this time of a leader's message. After one
    /// to two times as long without one (drawn from the seed) it starts an
    /// election. 700 ms is ten round trips between regions (35 ms one way), so
    /// that a slow sync does not cause an election.
    duration election_timeout = std::chrono::milliseconds(700);
    /// Interval between a leader's heartbeats: four in a row may be lost.
    duration heartbeat_interval = std::chrono::milliseconds(140);
    /// Interval between `tick` events; half a heartbeat interval keeps timers
    /// accurate enough.
    duration tick_interval = std::chrono::milliseconds(70);
    /// Minimum interval between writes of the commit index. Each costs a sync
    /// of its own; if all hosts lose power at once, entries accepted since the
    /// last one are applied only when there is a leader.
    duration commit_index_persist_interval = std::chrono::milliseconds(200);
    /// Subtracted from the election timeout to get the lease. Covers monotonic
    /// clocks that run at different rates (150 ms in 700 is far beyond any
    /// crystal oscillator), so that the old lease ends before a successor is
    /// elected.
    duration lease_margin = std::chrono::milliseconds(150);
    /// True if a leader whose process was paused for more than half an election
    /// timeout, by a slow sync or a busy machine, gets one heartbeat interval
    /// to read the replies that it received meanwhile before it steps down for
    /// want of them. It steps down in any case two election timeouts after the
    /// last heartbeat that a quorum answered.
    bool wait_after_pause = false;
    /// Maximum entries in one append; limits what a follower syncs at once.
    std::size_t max_append_entries = 256;
    /// Maximum payload bytes in one append (at least one entry is sent): a 10
    /// Mbit/s link carries it within half an election timeout.
    std::size_t max_append_bytes = 256UL * 1024;
    /// Maximum entries sent to a member and not yet acknowledged: enough for a
    /// 70 ms round trip at 10,000 entries a second.
    std::uint64_t max_inflight_entries = 1024;
    /// Maximum uncommitted entries; further proposals are refused at once.
    /// Limits memory when the quorum is slow or unavailable.
    std::uint64_t max_uncommitted_entries = 4096;
    /// Maximum payload bytes of uncommitted entries, for the same reason.
    std::size_t max_uncommitted_bytes = 16UL * 1024 * 1024;
    /// Entries applied since the last snapshot before a new one is taken.
    std::uint64_t snapshot_threshold = 4096;
    /// Entries retained behind a snapshot, so that a member that is slightly
    /// behind receives entries and not the complete state.
    std::uint64_t kept_entries = 1024;
    /// Size of a snapshot chunk in bytes, for the same reason as
    /// max_append_bytes.
    std::size_t snapshot_chunk_bytes = 256UL * 1024;
    /// Largest snapshot that is stored or received, in bytes; limits the memory
    /// that one member can make another one use. The state machine's own limits
    /// must stay below it: without snapshots the log grows.
    std::size_t max_snapshot_bytes = 256UL * 1024 * 1024;
    /// A learner at most this many entries behind the last index has caught up:
    /// one append sends the rest.
    std::uint64_t caught_up_entries = 64;
};

} // namespace bilberrylead::agreement

#endif
