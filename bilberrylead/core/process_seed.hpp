#ifndef BILBERRYLEAD_CORE_PROCESS_SEED_HPP
#define BILBERRYLEAD_CORE_PROCESS_SEED_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead
{

/// What a process draws random numbers for. Each has a sequence of its own,
/// so that the use of one does not move another.
enum class random_sequence : std::uint8_t
{
    /// Parts of split routes.
    route_split,
    /// Which of equal upstreams, and when callers and tries come back.
    placement,
    /// Time until a control host wants to lead.
    election,
    /// Where steering answers begin.
    steering,
    /// Pauses before a lost link is dialled again.
    redial,
    /// Phase of the heartbeats.
    heartbeat,
};

/// Where the random numbers of one incarnation of one process start.
///
/// Failure it answers: hosts that start their numbers at the same place
/// decide alike, and what chance should even out over all of them does not.
/// Hosts, and incarnations of a host, differ. There is no default: whoever
/// draws is given one.
class process_seed
{
public:
    /// The seed of that incarnation of that host.
    process_seed(host_id const& host, std::uint64_t incarnation);

    /// Seed of one of its sequences.
    std::uint64_t of(random_sequence sequence) const;

private:
    std::uint64_t value;
};

} // namespace bilberrylead

#endif
