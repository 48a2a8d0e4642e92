#ifndef BILBERRYLEAD_CORE_PROCESS_SEED_HPP
#define BILBERRYLEAD_CORE_PROCESS_SEED_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead
{

/// Purposes for which a process generates random numbers. Each purpose has its
/// own sequence, so that drawing from one does not change another.
enum class random_sequence : std::uint8_t
{
    /// Choice among the weighted branches of a split route.
    route_split,
    /// Choice among equal upstreams, and retry times of callers and attempts.
    placement,
    /// Election timeout of a control host.
    election,
    /// Position in the host list at which steering answers start.
    steering,
    /// Delay before a lost link is redialled.
    redial,
    /// Phase of the heartbeat interval.
    heartbeat,
    /// Retry times of callers of customers over their limit.
    customer_limit,
    /// Choice of the upstreams that are probed for the way to them.
    contact_probe,
};

/// Seed of all random sequences of one incarnation of a process.
///
/// Hosts that share a seed make the same choices, and whatever randomness is
/// meant to even out over all hosts does not even out. The seed therefore
/// differs between hosts and between incarnations of a host. There is no
/// default seed: each user of random numbers is given one.
class process_seed
{
public:
    /// Derives the seed from the host's id and its incarnation number.
    process_seed(host_id const& host, std::uint64_t incarnation);

    /// Seed of the given sequence.
    std::uint64_t of(random_sequence sequence) const;

private:
    std::uint64_t value;
};

} // namespace bilberrylead

#endif
