#include "bilberrylead/agreement/handover.hpp"

namespace bilberrylead::agreement
{

handover::handover(replica_core& shared, agreement::leadership& lead)
    : core(shared), leadership(lead)
{
}

void handover::on_handover_requested(host_id const& requested_target)
{
    if (this->core.role() != role::leader || this->is_in_progress())
    {
        return;
    }
    this->target = this->best_successor();
    if (this->core.memberships.current().find(requested_target) != nullptr &&
        requested_target != this->core.self)
    {
        this->target = requested_target;
    }
    this->deadline = this->core.now + this->core.settings.election_timeout;
    this->timeout_now_sent = false;
}

bool handover::is_in_progress() const
{
    return !this->target.empty();
}

void handover::advance()
{
    if (!this->is_in_progress())
    {
        return;
    }
    peer_progress const* const peer =
        this->leadership.other_members().find(this->target);
    bool const target_lost = peer == nullptr || !peer->member.voter;
    if (target_lost || this->core.now >= this->deadline)
    {
        this->cancel();
        return;
    }
    if (!this->timeout_now_sent &&
        peer->match_index == this->core.log.last_index())
    {
        // The message may arrive at any later time and the resulting election
        // ignores the lease, so the lease is released here.
        this->timeout_now_sent = true;
        this->leadership.release_lease();
        this->core.send_after_sync(this->target, timeout_now{});
    }
}

void handover::cancel()
{
    this->target = host_id();
}

host_id handover::best_successor() const
{
    peer_progress const* best = nullptr;
    for (peer_progress const& peer : this->leadership.other_members().all())
    {
        bool const replied_recently = peer.last_reply_at.has_value() &&
                                      this->core.now - *peer.last_reply_at <
                                          this->core.settings.election_timeout;
        bool const ahead_of_best =
            best == nullptr || peer.match_index > best->match_index;
        if (peer.member.voter && replied_recently && ahead_of_best)
        {
            best = &peer;
        }
    }
    return best == nullptr ? host_id() : best->member.host;
}

} // namespace bilberrylead::agreement
