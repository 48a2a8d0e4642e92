#include "bilberrylead/agreement/handover.hpp"

namespace bilberrylead::agreement
{

handover::handover(replica_core& shared, leadership& lead)
    : core(shared), office(lead)
{
}

void handover::on_handover_requested(host_id const& wanted)
{
    if (this->core.role() != role::leader || this->under_way())
    {
        return;
    }
    this->target = this->best_successor();
    if (this->core.memberships.current().find(wanted) != nullptr &&
        wanted != this->core.self)
    {
        this->target = wanted;
    }
    this->until = this->core.now + this->core.settings.election_timeout;
    this->told = false;
}

bool handover::under_way() const
{
    return !this->target.empty();
}

void handover::go_on()
{
    if (!this->under_way())
    {
        return;
    }
    peer_progress const* const peer = this->office.members().find(this->target);
    bool const hopeless = peer == nullptr || !peer->who.voter;
    if (hopeless || this->core.now >= this->until)
    {
        this->end();
        return;
    }
    if (!this->told && peer->match_index == this->core.log.last_index())
    {
        // The message may arrive at any later time and elects in spite of
        // the lease, so that the lease ends here.
        this->told = true;
        this->office.give_up_lease();
        this->core.answer(this->target, timeout_now{});
    }
}

void handover::end()
{
    this->target = host_id();
}

host_id handover::best_successor() const
{
    peer_progress const* best = nullptr;
    for (peer_progress const& peer : this->office.members().all())
    {
        bool const alive = peer.answered_at.has_value() &&
                           this->core.now - *peer.answered_at <
                               this->core.settings.election_timeout;
        bool const further =
            best == nullptr || peer.match_index > best->match_index;
        if (peer.who.voter && alive && further)
        {
            best = &peer;
        }
    }
    return best == nullptr ? host_id() : best->who.host;
}

} // namespace bilberrylead::agreement
