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

/// Who leads: timers, pre-votes and votes.
class election
{
public:
    /// Works on the replica's shared state.
    explicit election(replica_core& shared);

    /// A leader showed itself, or may have one before this start: grants
    /// nothing and asks for nothing for an election timeout.
    void record_leader_contact();

    /// Waits a full timeout before the next attempt.
    void restart_timer();

    /// Tries to be elected if the time has come.
    void on_tick();

    /// Answers one who asks whether it could win.
    void on_pre_vote_request(host_id const& from, message const& received,
                             pre_vote_request const& request);
    /// Counts, and campaigns with a quorum.
    void on_pre_vote_reply(host_id const& from, message const& received,
                           pre_vote_reply const& reply);
    /// Votes, or does not.
    void on_vote_request(host_id const& from, message const& received,
                         vote_request const& request);
    /// Counts, and wins with a quorum.
    void on_vote_reply(host_id const& from, message const& received,
                       vote_reply const& reply);
    /// Campaigns at once, if the leader itself asks for it.
    void on_timeout_now(host_id const& from, message const& received);

private:
    bool has_recent_leader_contact() const;
    bool is_up_to_date(std::uint64_t last_term, std::uint64_t last_index) const;
    void start_pre_vote();
    void start_campaign(bool handover);
    void send_to_voters(message_body const& request);
    bool count_grant(host_id const& from, std::uint64_t sender_incarnation);

    replica_core& core;
    instant leader_contact_at;
    instant election_due_at;
    std::vector<host_id> granted_by;
};

} // namespace bilberrylead::agreement

#endif
