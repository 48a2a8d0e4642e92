#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_MEMBERSHIP_CHANGE_REQUESTED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_MEMBERSHIP_CHANGE_REQUESTED_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <string_view>

namespace bilberrylead::agreement
{

/// Membership change requested by an operator for one member.
enum class membership_action : std::uint8_t
{
    /// Add as a permanent learner.
    add_learner,
    /// Add as a learner that is promoted to voter once it has caught up.
    add_voter,
    /// Remove, whether learner or voter.
    remove,
};

/// Name of the action, as shown in logs.
constexpr std::string_view to_string(membership_action action)
{
    switch (action)
    {
    case membership_action::add_learner:
        return "add_learner";
    case membership_action::add_voter:
        return "add_voter";
    case membership_action::remove:
        return "remove";
    }
    return "";
}

/// Requests one membership change. Answered like a proposal; refused while
/// another change is not committed.
struct membership_change_requested
{
    /// Number chosen by the requester; shares its number space with proposals.
    std::uint64_t token = 0;
    /// The action.
    membership_action action = membership_action::add_learner;
    /// The host to add or remove.
    host_id host;
    /// Incarnation to add; 0 adds the one that the host reports itself.
    std::uint64_t incarnation = 0;
};

} // namespace bilberrylead::agreement

#endif
