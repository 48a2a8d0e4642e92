#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_MEMBERSHIP_CHANGE_REQUESTED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_MEMBERSHIP_CHANGE_REQUESTED_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <string_view>

namespace bilberrylead::agreement
{

/// What an operator wants done to one member.
enum class membership_action : std::uint8_t
{
    /// Take in as a learner that stays one.
    add_learner,
    /// Take in as a learner that becomes a voter once it caught up.
    add_voter,
    /// Take out, whatever it is.
    remove,
};

/// The action's name as logs show it.
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

/// Asks for one change of membership. Answered like a proposal; refused
/// while another one is not settled.
struct membership_change_requested
{
    /// The asker's number for it, shared with proposals.
    std::uint64_t token = 0;
    /// What to do.
    membership_action action = membership_action::add_learner;
    /// To whom.
    host_id host;
    /// Which incarnation to add; 0 takes the one the host names itself.
    std::uint64_t incarnation = 0;
};

} // namespace bilberrylead::agreement

#endif
