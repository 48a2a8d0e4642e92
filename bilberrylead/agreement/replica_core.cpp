#include "bilberrylead/agreement/replica_core.hpp"

#include <utility>

namespace bilberrylead::agreement
{

replica_core::replica_core(host_id const& self_, std::uint64_t incarnation_,
                           replica_settings const& settings_,
                           std::uint64_t seed, safeguards const& switches_)
    : self(self_), incarnation(incarnation_), settings(settings_),
      switches(switches_), random(seed)
{
}

agreement::role replica_core::role() const
{
    return this->life.current();
}

bool replica_core::is_voter() const
{
    return this->is_listed(this->self, this->incarnation) &&
           this->memberships.current().find(this->self)->voter;
}

void replica_core::adopt_term(std::uint64_t term)
{
    if (term > this->hard_state.term)
    {
        this->set_hard_state(term, host_id());
        this->leader = host_id();
        this->life.follow();
    }
}

void replica_core::set_hard_state(std::uint64_t term, host_id const& voted_for)
{
    this->hard_state = {term, voted_for};
    this->out.write(persist_hard_state{this->hard_state});
}

message replica_core::make_message(message_body body) const
{
    return {this->hard_state.term, this->incarnation, std::move(body)};
}

void replica_core::answer(host_id const& to, message_body body,
                          bool durable_first)
{
    send next{to, this->make_message(std::move(body))};
    if (durable_first)
    {
        this->out.add(std::move(next));
    }
    else
    {
        this->out.add_before_writes(std::move(next));
    }
}

void replica_core::match_role_to_membership()
{
    if (this->is_voter())
    {
        this->life.join_voters();
    }
    else
    {
        this->life.leave_voters();
    }
}

bool replica_core::is_listed(host_id const& host, std::uint64_t sender) const
{
    member const* const listed = this->memberships.current().find(host);
    return listed != nullptr &&
           (listed->incarnation == sender || !this->switches.incarnation_check);
}

} // namespace bilberrylead::agreement
