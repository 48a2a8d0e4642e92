#include "bilberrylead/agreement/replica.hpp"

#include "bilberrylead/agreement/replica_parts.hpp"

namespace bilberrylead::agreement
{

replica::replica(host_id const& self, std::uint64_t incarnation,
                 replica_settings const& settings, std::uint64_t seed,
                 safeguards const& enabled_safeguards)
    : parts(std::make_unique<replica_parts>(self, incarnation, settings, seed,
                                            enabled_safeguards))
{
}

replica::~replica() = default;

std::vector<effect> replica::reduce(event const& event, instant now)
{
    return this->reduce(std::span<agreement::event const>(&event, 1), now);
}

std::vector<effect> replica::reduce(std::span<event const> events, instant now)
{
    this->parts->begin_call(now);
    for (event const& next : events)
    {
        this->parts->process(next);
    }
    return this->parts->finish_call();
}

agreement::role replica::role() const
{
    return this->parts->core.role();
}

std::uint64_t replica::term() const
{
    return this->parts->core.hard_state.term;
}

host_id const& replica::leader() const
{
    return this->parts->core.leader;
}

std::uint64_t replica::quorum_commit_index() const
{
    return this->parts->core.role() == agreement::role::leader
               ? this->parts->leadership.quorum_commit_index()
               : 0;
}

std::uint64_t replica::commit_index() const
{
    return this->parts->core.commit_index;
}

std::uint64_t replica::last_index() const
{
    return this->parts->core.log.last_index();
}

agreement::membership const& replica::membership() const
{
    return this->parts->core.memberships.current();
}

std::vector<member_state> replica::members(instant now) const
{
    return this->parts->membership_changes.members(now);
}

bool replica::holds_lease(instant now) const
{
    return this->parts->leadership.holds_lease(now);
}

} // namespace bilberrylead::agreement
