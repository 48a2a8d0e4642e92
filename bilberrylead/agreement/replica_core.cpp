#include "bilberrylead/agreement/replica_core.hpp"

#include <utility>

namespace bilberrylead::agreement
{

replica_core::replica_core(host_id const& own_id, std::uint64_t own_incarnation,
                           replica_settings const& own_settings,
                           std::uint64_t seed, safeguards const& enabled)
    : self(own_id), incarnation(own_incarnation), settings(own_settings),
      enabled_safeguards(enabled), random(seed)
{
}

agreement::role replica_core::role() const
{
    return this->life_cycle.current();
}

bool replica_core::is_voter() const
{
    return this->is_counted_voter(this->memberships.current(), this->self,
                                  this->incarnation);
}

/// A host that an uncommitted change removes may be the only one that holds
/// this entry. It votes for nobody with a shorter log, so the group would be
/// blocked for ever unless this host leads once more to commit the change.
bool replica_core::may_lead() const
{
    if (this->is_voter())
    {
        return true;
    }
    return this->memberships.current_index() > this->commit_index &&
           this->memberships.previous().is_voter(this->self, this->incarnation);
}

void replica_core::adopt_term(std::uint64_t term)
{
    if (term > this->hard_state.term)
    {
        this->set_hard_state(term, host_id());
        this->leader = host_id();
        this->life_cycle.follow();
    }
}

void replica_core::set_hard_state(std::uint64_t term, host_id const& voted_for)
{
    this->hard_state = {term, voted_for, this->commit_index};
    this->commit_index_recorded_at = this->now;
    this->effects.write(persist_hard_state{this->hard_state});
}

void replica_core::record_commit_index()
{
    if (this->commit_index > this->hard_state.committed &&
        this->now - this->commit_index_recorded_at >=
            this->settings.commit_index_persist_interval)
    {
        this->set_hard_state(this->hard_state.term, this->hard_state.voted_for);
    }
}

message replica_core::make_message(message_body body) const
{
    return {this->hard_state.term, this->incarnation, std::move(body)};
}

void replica_core::send_after_sync(host_id const& to, message_body body,
                                   bool wait_for_sync)
{
    send next{to, this->make_message(std::move(body))};
    if (wait_for_sync)
    {
        this->effects.add(std::move(next));
    }
    else
    {
        this->effects.add_before_writes(std::move(next));
    }
}

void replica_core::update_role_from_membership()
{
    if (this->may_lead())
    {
        this->life_cycle.join_voters();
    }
    else
    {
        this->life_cycle.leave_voters();
    }
}

bool replica_core::is_counted_voter(membership const& members,
                                    host_id const& host,
                                    std::uint64_t sender_incarnation) const
{
    if (this->enabled_safeguards.incarnation_check)
    {
        return members.is_voter(host, sender_incarnation);
    }
    member const* const listed = members.find(host);
    return listed != nullptr && listed->voter;
}

} // namespace bilberrylead::agreement
