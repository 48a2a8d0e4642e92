#ifndef BILBERRYLEAD_AGREEMENT_REPLICA_SETTINGS_HPP
#define BILBERRYLEAD_AGREEMENT_REPLICA_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace bilberrylead::agreement
{

/// How a replica paces itself. The same at every member of a group.
struct replica_settings
{
    /// A voter that heard a leader within this time turns candidates down,
    /// and one that did not for one to two times as long (drawn by the
    /// seed) tries to be elected. 700 ms is ten round trips between the
    /// regions (35 ms one way), so that a slow sync is no election.
    duration election_timeout = std::chrono::milliseconds(700);
    /// Leader's pause between heartbeats: four may get lost in a row.
    duration heartbeat_interval = std::chrono::milliseconds(140);
    /// How often `tick` is due; half a heartbeat keeps timers exact enough.
    duration tick_interval = std::chrono::milliseconds(70);
    /// Shortest time between two notes of how far the log is committed. Each
    /// is a sync of its own; what was accepted since the last one waits for
    /// a leader if all hosts lose power at once.
    duration commit_index_persist_interval = std::chrono::milliseconds(200);
    /// Taken off the election timeout to get the lease: covers monotonic
    /// clocks that run at different rates (150 ms in 700 is far beyond any
    /// crystal), so that the old lease ends before a successor starts.
    duration lease_margin = std::chrono::milliseconds(150);
    /// Most entries of one append: bounds what a follower syncs at once.
    std::size_t max_append_entries = 256;
    /// Most payload bytes of one append (at least one entry goes): a
    /// 10 Mbit/s link carries it within half an election timeout.
    std::size_t max_append_bytes = 256UL * 1024;
    /// How far sends run ahead of a member's answers, in entries: enough
    /// for a 70 ms round trip at 10,000 entries a second.
    std::uint64_t max_inflight_entries = 1024;
    /// Most entries that wait to be committed; more proposals are refused
    /// at once. Bounds memory when the quorum is slow or gone.
    std::uint64_t max_uncommitted_entries = 4096;
    /// Most payload bytes that wait to be committed, for the same reason.
    std::size_t max_uncommitted_bytes = 16UL * 1024 * 1024;
    /// Entries applied since the last snapshot that make a new one due.
    std::uint64_t snapshot_threshold = 4096;
    /// Entries kept behind a snapshot, so that a member that is only a
    /// little late gets entries and not the whole state.
    std::uint64_t kept_entries = 1024;
    /// Bytes of one snapshot chunk; as max_append_bytes.
    std::size_t snapshot_chunk_bytes = 256UL * 1024;
    /// Largest snapshot that is kept or taken in; bounds what a member can
    /// make another one hold. The state machine's own bounds must stay
    /// below it: without snapshots the log grows.
    std::size_t max_snapshot_bytes = 256UL * 1024 * 1024;
    /// A learner at most this far behind the commit index has caught up:
    /// one append brings the rest.
    std::uint64_t caught_up_entries = 64;
};

} // namespace bilberrylead::agreement

#endif
