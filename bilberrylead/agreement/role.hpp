#ifndef BILBERRYLEAD_AGREEMENT_ROLE_HPP
#define BILBERRYLEAD_AGREEMENT_ROLE_HPP

#include <cstdint>
#include <string_view>

namespace bilberrylead::agreement
{

/// What a replica is to its group now.
enum class role : std::uint8_t
{
    /// Receives the log; has no vote that counts.
    learner,
    /// A voter that follows a leader or waits for one.
    follower,
    /// A voter that asks whether it could win, without touching its term.
    pre_candidate,
    /// A voter that asks for votes in a new term.
    candidate,
    /// The one that appends to the log in its term.
    leader,
    /// Its disk failed: it answers nothing any more.
    stopped,
};

/// The role's name for logs and status output.
std::string_view to_string(role value);

} // namespace bilberrylead::agreement

#endif
