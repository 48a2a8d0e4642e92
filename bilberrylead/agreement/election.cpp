#include "bilberrylead/agreement/election.hpp"

#include <algorithm>

namespace bilberrylead::agreement
{

election::election(replica_core& shared) : core(shared)
{
}

void election::record_leader_contact()
{
    this->leader_contact_at = this->core.now;
    this->restart_timer();
}

void election::restart_timer()
{
    std::uniform_int_distribution<duration::rep> spread(
        0, this->core.settings.election_timeout.count());
    this->election_due_at = this->core.now +
                            this->core.settings.election_timeout +
                            duration(spread(this->core.random));
}

void election::on_tick()
{
    if (this->core.role() == role::stopped)
    {
        return;
    }
    if (this->core.now < this->election_due_at)
    {
        if (this->core.role() == role::pre_candidate &&
            this->core.now >= this->pre_votes_due_at)
        {
            this->request_pre_votes();
        }
        return;
    }
    this->core.leader = host_id();
    if (this->core.role() == role::learner)
    {
        return;
    }
    if (this->core.enabled_safeguards.pre_vote)
    {
        this->start_pre_vote();
    }
    else
    {
        this->start_campaign(false);
    }
}

/// True within one election timeout of contact with a leader. A vote granted in
/// that time could elect a successor while the old leader still answers reads
/// under its lease.
bool election::has_recent_leader_contact() const
{
    if (!this->core.enabled_safeguards.vote_waits_for_lease)
    {
        return false;
    }
    return this->core.role() == role::leader ||
           this->core.now - this->leader_contact_at <
               this->core.settings.election_timeout;
}

bool election::is_up_to_date(std::uint64_t last_term,
                             std::uint64_t last_index) const
{
    replica_log const& log = this->core.log;
    return last_term > log.last_term() ||
           (last_term == log.last_term() && last_index >= log.last_index());
}

void election::start_pre_vote()
{
    this->core.life_cycle.start_pre_vote();
    this->restart_timer();
    this->has_yielded = false;
    this->request_pre_votes();
}

/// Repeated at each heartbeat interval. A voter that heard the lost leader a
/// moment later than this replica does not reply, and a request over a link
/// that is not open yet is lost; another election timeout would be too long.
void election::request_pre_votes()
{
    this->pre_votes_due_at =
        this->core.now + this->core.settings.heartbeat_interval;
    this->granted_by.clear();
    this->counts_pre_votes = true;
    this->send_to_voters(pre_vote_request{this->core.hard_state.term + 1,
                                          this->core.log.last_index(),
                                          this->core.log.last_term()});
    if (this->count_grant(this->core.self, this->core.incarnation))
    {
        this->start_campaign(false);
    }
}

void election::start_campaign(bool handover)
{
    this->core.life_cycle.campaign();
    this->core.set_hard_state(this->core.hard_state.term + 1, this->core.self);
    this->core.leader = host_id();
    this->restart_timer();
    this->granted_by.clear();
    this->send_to_voters(vote_request{this->core.log.last_index(),
                                      this->core.log.last_term(), handover});
    if (this->count_grant(this->core.self, this->core.incarnation))
    {
        this->core.life_cycle.win();
    }
}

void election::send_to_voters(message_body const& request)
{
    bool const wait_for_sync =
        this->core.enabled_safeguards.durable_vote_before_answer;
    for (member const& one : this->core.memberships.current().members)
    {
        if (one.voter && one.host != this->core.self)
        {
            this->core.send_after_sync(one.host, request, wait_for_sync);
        }
    }
}

bool election::count_grant(host_id const& from,
                           std::uint64_t sender_incarnation)
{
    // The grant may come from a previous incarnation of the host, or from a
    // newer one with an empty disk. Only the listed incarnation holds the
    // entries that its vote stands for.
    bool const counts = this->core.is_counted_voter(
        this->core.memberships.current(), from, sender_incarnation);
    if (counts &&
        std::ranges::find(this->granted_by, from) == this->granted_by.end())
    {
        this->granted_by.push_back(from);
    }
    return this->granted_by.size() >= this->core.memberships.current().quorum();
}

void election::on_pre_vote_request(host_id const& from, message const& received,
                                   pre_vote_request const& request)
{
    if (this->has_recent_leader_contact())
    {
        return;
    }
    this->core.adopt_term(received.term);
    bool const granted =
        request.proposed_term > this->core.hard_state.term &&
        this->is_up_to_date(request.last_term, request.last_index);
    if (granted)
    {
        this->yield_to(from, request);
    }
    this->core.send_after_sync(from,
                               pre_vote_reply{request.proposed_term, granted});
}

/// Two replicas that stand within a message's way of each other would split the
/// votes and wait for another election timeout. The one with the shorter log,
/// or with the greater name, counts no pre-votes until it repeats its request;
/// only once, since the other one may be unable to receive replies.
void election::yield_to(host_id const& other, pre_vote_request const& request)
{
    replica_log const& log = this->core.log;
    bool const has_same_log = request.last_term == log.last_term() &&
                              request.last_index == log.last_index();
    bool const has_priority = has_same_log && this->core.self < other;
    if (this->core.role() != role::pre_candidate || this->has_yielded ||
        has_priority)
    {
        return;
    }
    this->has_yielded = true;
    this->counts_pre_votes = false;
    this->pre_votes_due_at =
        this->core.now + this->core.settings.heartbeat_interval;
}

void election::on_pre_vote_reply(host_id const& from, message const& received,
                                 pre_vote_reply const& reply)
{
    bool const expected = this->core.role() == role::pre_candidate &&
                          this->counts_pre_votes &&
                          reply.proposed_term == this->core.hard_state.term + 1;
    if (expected && reply.granted &&
        this->count_grant(from, received.incarnation))
    {
        this->start_campaign(false);
    }
}

void election::on_vote_request(host_id const& from, message const& received,
                               vote_request const& request)
{
    if (!request.handover && this->has_recent_leader_contact())
    {
        return;
    }
    this->core.adopt_term(received.term);
    hard_state const& own = this->core.hard_state;
    bool const free = own.voted_for.empty() || own.voted_for == from;
    bool const granted =
        received.term == own.term && free &&
        this->is_up_to_date(request.last_term, request.last_index);
    if (granted)
    {
        if (own.voted_for.empty())
        {
            this->core.set_hard_state(own.term, from);
        }
        this->restart_timer();
    }
    this->core.send_after_sync(
        from, vote_reply{granted},
        this->core.enabled_safeguards.durable_vote_before_answer);
}

void election::on_vote_reply(host_id const& from, message const& received,
                             vote_reply const& reply)
{
    bool const expected = this->core.role() == role::candidate &&
                          received.term == this->core.hard_state.term;
    if (expected && reply.granted &&
        this->count_grant(from, received.incarnation))
    {
        this->core.life_cycle.win();
    }
}

void election::on_timeout_now(host_id const& from, message const& received)
{
    bool const expected = received.term == this->core.hard_state.term &&
                          from == this->core.leader &&
                          this->core.role() == role::follower;
    if (expected)
    {
        this->start_campaign(true);
    }
}

} // namespace bilberrylead::agreement
