#ifndef BILBERRYLEAD_AGREEMENT_SEND_ROUNDS_HPP
#define BILBERRYLEAD_AGREEMENT_SEND_ROUNDS_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace bilberrylead::agreement
{

/// Numbers a leader's calls and records when each one started. The number is
/// echoed in replies, so that the leader can tell when the acknowledged message
/// was sent. Clock values never leave the host.
class send_rounds
{
public:
    /// Starts the next round.
    void next(instant now);

    /// Number of the current round.
    std::uint64_t current() const;

    /// Start time of a round; nullopt if it was discarded or has not started.
    std::optional<instant> started_at(std::uint64_t round) const;

    /// Discards rounds that started before `oldest`, except the current one.
    void forget_before(instant oldest);

private:
    std::uint64_t first = 1;
    std::deque<instant> starts;
};

} // namespace bilberrylead::agreement

#endif
