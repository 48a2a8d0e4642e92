#ifndef BILBERRYLEAD_AGREEMENT_SAFEGUARDS_HPP
#define BILBERRYLEAD_AGREEMENT_SAFEGUARDS_HPP

namespace bilberrylead::agreement
{

/// Switches for tests only: each one, switched off, exposes the fault that its
/// safeguard prevents. Programs use the defaults.
struct safeguards
{
    /// Ask for pre-votes before raising the term. Without it a host that was
    /// partitioned returns with a higher term and deposes a healthy leader.
    bool pre_vote = true;
    /// Sync term and vote before they are sent. Without it a host votes twice
    /// in a term across a crash, and the term has two leaders.
    bool durable_vote_before_answer = true;
    /// Sync entries before they are acknowledged. Without it a crash removes a
    /// copy that was counted, and an accepted change is lost.
    bool durable_entries_before_answer = true;
    /// Commit by counting copies only for entries of the current term. Without
    /// it an entry of an older term is applied and then overwritten by a later
    /// leader.
    bool commit_own_term_only = true;
    /// A leader without replies from a quorum steps down by its own clock.
    /// Without it an isolated leader considers itself leader for ever.
    bool quorum_check = true;
    /// Votes and copies count for the listed incarnation only. Without it a
    /// host that lost its disk votes as its previous incarnation and hides the
    /// entries that one had stored.
    bool incarnation_check = true;
    /// A voter with recent leader contact, or that has just started, grants no
    /// vote. Without it a successor is elected while the old lease is still
    /// valid.
    bool vote_waits_for_lease = true;
    /// The lease starts when the acknowledged message was sent. Without it
    /// (starting at the reply's arrival) a late reply extends the lease.
    bool lease_from_send = true;
    /// A membership change waits until the previous one and an entry of the
    /// current term are committed. Without it two quorums need not share a
    /// member.
    bool one_change_at_a_time = true;
};

} // namespace bilberrylead::agreement

#endif
