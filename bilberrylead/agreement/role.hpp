#ifndef BILBERRYLEAD_AGREEMENT_ROLE_HPP
#define BILBERRYLEAD_AGREEMENT_ROLE_HPP

#include <cstdint>
#include <string_view>

namespace bilberrylead::agreement
{

/// The role of a replica in its group.
enum class role : std::uint8_t
{
    /// Receives the log; its vote does not count.
    learner,
    /// A voter that follows a leader or waits for one.
    follower,
    /// A voter that asks whether it could win an election, without raising its
    /// term.
    pre_candidate,
    /// A voter that requests votes in a new term.
    candidate,
    /// The one replica that appends to the log in its term.
    leader,
    /// The disk failed; the replica no longer replies.
    stopped,
};

/// The role's name for logs and status output.
std::string_view to_string(role value);

} // namespace bilberrylead::agreement

#endif
