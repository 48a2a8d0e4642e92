#ifndef BILBERRYLEAD_AGREEMENT_SEND_ROUNDS_HPP
#define BILBERRYLEAD_AGREEMENT_SEND_ROUNDS_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace bilberrylead::agreement
{

/// Numbers a leader's calls that send, and remembers when each was, so
/// that an answer tells how old what it answers is. The clock itself never
/// leaves the host.
class send_rounds
{
public:
    /// Starts the next round.
    void next(instant now);

    /// The round at work.
    std::uint64_t current() const;

    /// When a round was; nothing if it is forgotten or yet to come.
    std::optional<instant> started_at(std::uint64_t round) const;

    /// Forgets rounds older than `oldest`.
    void forget_before(instant oldest);

private:
    std::uint64_t first = 1;
    std::deque<instant> starts;
};

} // namespace bilberrylead::agreement

#endif
