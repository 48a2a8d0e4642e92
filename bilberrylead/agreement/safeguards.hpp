#ifndef BILBERRYLEAD_AGREEMENT_SAFEGUARDS_HPP
#define BILBERRYLEAD_AGREEMENT_SAFEGUARDS_HPP

namespace bilberrylead::agreement
{

/// Switches for tests only: each shows, switched off, the fault that the
/// safeguard is there for. Programs use the defaults.
struct safeguards
{
    /// Ask before raising the term. Without it a host that was cut off
    /// comes back with a higher term and unseats a healthy leader.
    bool pre_vote = true;
    /// Sync term and vote before they are told. Without it a host votes
    /// twice in a term across a crash, and the term has two leaders.
    bool durable_vote_before_answer = true;
    /// Sync entries before they are acknowledged. Without it a crash takes
    /// back a copy that was counted, and an accepted change is lost.
    bool durable_entries_before_answer = true;
    /// Count copies only for entries of the own term. Without it an entry
    /// of an older term is applied and then overwritten by a later leader.
    bool commit_own_term_only = true;
    /// A leader that hears no quorum steps down by its own clock. Without
    /// it an isolated leader believes in its office for ever.
    bool quorum_check = true;
    /// Votes and copies count for one incarnation only. Without it a host
    /// that lost its disk votes as its former self and hides what it had.
    bool incarnation_check = true;
    /// A voter that hears a leader, or just started, grants no vote.
    /// Without it a successor is elected while the old lease still runs.
    bool vote_waits_for_lease = true;
    /// The lease counts from when the answered message was sent. Without
    /// it (from the answer's arrival) a late answer stretches the lease.
    bool lease_from_send = true;
    /// A membership change waits for the one before and for an entry of
    /// the own term. Without it two quorums need not share a member.
    bool one_change_at_a_time = true;
};

} // namespace bilberrylead::agreement

#endif
