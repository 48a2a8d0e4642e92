#ifndef BILBERRYLEAD_AGREEMENT_ELECTION_HPP
#define BILBERRYLEAD_AGREEMENT_ELECTION_HPP

#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::agreement
{

/// Leader election: timers, pre-votes and votes.
class election
{
public:
    /// Keeps a reference to the shared state, which must outlive this object.
    explicit election(replica_core& shared);

    /// Records contact with a leader. For one election timeout the replica
    /// grants no votes and starts no election. Also called at start, since
    /// there may have been contact before a restart.
    void record_leader_contact();

    /// Restarts the randomized election timer.
    void restart_timer();

    /// Forgets the leader if the timer has expired, and starts an election if
    /// this replica may stand for it. Not called while this replica leads.
    void on_tick();

    /// Replies whether this replica would vote for the sender.
    void on_pre_vote_request(host_id const& from, message const& received,
                             pre_vote_request const& request);
    /// Counts a granted pre-vote; starts a campaign on a quorum.
    void on_pre_vote_reply(host_id const& from, message const& received,
                           pre_vote_reply const& reply);
    /// Grants or denies the vote. Sends no reply within an election timeout of
    /// contact with a leader, unless that leader asked for the election.
    void on_vote_request(host_id const& from, message const& received,
                         vote_request const& request);
    /// Counts a granted vote; wins the election on a quorum.
    void on_vote_reply(host_id const& from, message const& received,
                       vote_reply const& reply);
    /// Starts a campaign without a pre-vote if the current leader is the
    /// sender.
    void on_timeout_now(host_id const& from, message const& received);

private:
    bool has_recent_leader_contact() const;
    bool is_up_to_date(std::uint64_t last_term, std::uint64_t last_index) const;
    void start_pre_vote();
    void request_pre_votes();
    void yield_to(host_id const& other, pre_vote_request const& request);
    void start_campaign(bool handover);
    void send_to_voters(message_body const& request);
    bool count_grant(host_id const& from, std::uint64_t sender_incarnation);

    replica_core& core;
    instant leader_contact_at;
    instant election_due_at;
    instant pre_votes_due_at;
    // Whether replies to pre-votes count, and whether another replica was given
    // way to since the timer expired.
    bool counts_pre_votes = false;
    bool has_yielded = false;
    std::vector<host_id> granted_by;
};

} // namespace bilberrylead::agreement

#endif
