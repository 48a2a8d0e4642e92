#include "bilberrylead/agreement/membership_changer.hpp"

#include "bilberrylead/agreement/codec.hpp"

#include <algorithm>
#include <utility>

namespace bilberrylead::agreement
{

namespace
{

/// Returns the membership after an operator's change, or nullopt if the change
/// is not valid.
std::optional<membership>
membership_after(membership const& before,
                 membership_change_requested const& request)
{
    membership after = before;
    member const* const listed = before.find(request.host);
    if (request.action == membership_action::remove)
    {
        after.remove(request.host);
        bool const valid = listed != nullptr && after.voters() > 0;
        return valid ? std::optional(after) : std::nullopt;
    }

    bool const wants_vote = request.action == membership_action::add_voter;
    member next{request.host, request.incarnation, false, wants_vote};
    if (listed != nullptr)
    {
        bool const same = request.incarnation == 0 ||
                          request.incarnation == listed->incarnation;
        bool const settled = same && (listed->voter || !wants_vote ||
                                      listed->voter_when_caught_up);
        if (settled || (!same && request.incarnation < listed->incarnation))
        {
            return std::nullopt;
        }
        next.incarnation = same ? listed->incarnation : request.incarnation;
    }
    after.put(next);
    return after.voters() > 0 ? std::optional(after) : std::nullopt;
}

} // namespace

membership_changer::membership_changer(replica_core& shared,
                                       agreement::leadership& lead,
                                       pending_proposals& waiting)
    : core(shared), leadership(lead), proposals(waiting)
{
}

void membership_changer::on_change_requested(
    membership_change_requested const& request)
{
    if (this->core.role() != role::leader)
    {
        this->core.effects.add(proposal_refused{
            request.token, refusal::not_leader, this->core.leader});
        return;
    }
    if (!this->can_start_change())
    {
        this->core.effects.add(proposal_refused{
            request.token, refusal::change_in_progress, this->core.self});
        return;
    }
    std::optional<membership> const next =
        membership_after(this->core.memberships.current(), request);
    if (!next.has_value())
    {
        this->core.effects.add(proposal_refused{
            request.token, refusal::bad_change, this->core.self});
        return;
    }
    if (!this->has_live_quorum(*next))
    {
        this->core.effects.add(proposal_refused{
            request.token, refusal::would_lose_quorum, this->core.self});
        return;
    }
    this->append_change(*next, request.token);
}

std::vector<member_state> membership_changer::members(instant now) const
{
    std::vector<member_state> states;
    if (this->core.role() != role::leader)
    {
        return states;
    }
    for (member const& one : this->core.memberships.current().members)
    {
        if (one.host == this->core.self)
        {
            states.push_back({one, duration::zero(), true});
            continue;
        }
        peer_progress const* const peer =
            this->leadership.other_members().find(one.host);
        if (peer == nullptr)
        {
            states.push_back(
                {one, now - this->leadership.leader_since(), false});
            continue;
        }
        instant const last_contact =
            peer->last_reply_at.value_or(peer->listed_at);
        states.push_back({one, std::max(now - last_contact, duration::zero()),
                          this->has_caught_up(*peer)});
    }
    return states;
}

/// True if no change is in progress and an entry of the current term is
/// committed. A change on top of an uncommitted one, or before the first commit
/// of the term, could leave two quorums without a common voter: two leaders
/// would commit different entries.
bool membership_changer::can_start_change() const
{
    if (!this->core.enabled_safeguards.one_change_at_a_time)
    {
        return true;
    }
    return this->leadership.has_committed_in_term() &&
           this->core.memberships.current_index() <= this->core.commit_index;
}

void membership_changer::append_change(membership const& next,
                                       std::optional<std::uint64_t> token)
{
    bytes payload = encode_membership(next);
    std::size_t const size = payload.size();
    std::uint64_t const index =
        this->leadership.append(entry_kind::membership, std::move(payload));
    if (token.has_value())
    {
        this->proposals.add(index, *token, size);
    }
}

void membership_changer::on_tick()
{
    if (this->can_start_change() && !this->readmit_wiped_host())
    {
        this->promote_learner();
    }
}

/// Lists the host's new incarnation as a learner, which is promoted once it has
/// caught up. This takes two steps, since a single one would change two voters
/// at once.
bool membership_changer::readmit_wiped_host()
{
    for (peer_progress const& peer : this->leadership.other_members().all())
    {
        if (peer.newer_incarnation <= peer.member.incarnation)
        {
            continue;
        }
        membership next = this->core.memberships.current();
        next.put(member{peer.member.host, peer.newer_incarnation, false,
                        peer.member.voter || peer.member.voter_when_caught_up});
        if (next.voters() > 0 && this->has_live_quorum(next))
        {
            this->append_change(next, std::nullopt);
            return true;
        }
    }
    return false;
}

void membership_changer::promote_learner()
{
    for (peer_progress const& peer : this->leadership.other_members().all())
    {
        if (peer.member.voter_when_caught_up && this->has_caught_up(peer))
        {
            membership next = this->core.memberships.current();
            next.put(
                member{peer.member.host, peer.member.incarnation, true, false});
            this->append_change(next, std::nullopt);
            return;
        }
    }
}

/// True if a quorum of the voters of `next` responds now. A change takes effect
/// before it is committed: one that needs an unavailable voter would block the
/// group and could not be undone.
bool membership_changer::has_live_quorum(membership const& next) const
{
    std::size_t live_voters = 0;
    for (member const& one : next.members)
    {
        peer_progress const* const peer =
            this->leadership.other_members().find(one.host);
        bool const live = one.host == this->core.self ||
                          (peer != nullptr && this->acked_recently(*peer));
        live_voters += one.voter && live ? 1 : 0;
    }
    return live_voters >= next.quorum();
}

bool membership_changer::acked_recently(peer_progress const& peer) const
{
    return peer.acked_send_time.has_value() &&
           this->core.now - *peer.acked_send_time <
               this->core.settings.election_timeout;
}

bool membership_changer::has_caught_up(peer_progress const& peer) const
{
    return this->acked_recently(peer) && !peer.outgoing_snapshot &&
           peer.match_index > 0 &&
           peer.match_index + this->core.settings.caught_up_entries >=
               this->core.log.last_index();
}

} // namespace bilberrylead::agreement
