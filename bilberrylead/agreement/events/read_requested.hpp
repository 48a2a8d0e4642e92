#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_READ_REQUESTED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_READ_REQUESTED_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Asks whether the state machine may be read as it stands: answered with
/// read_ready or read_refused, exactly once.
struct read_requested
{
    /// The asker's number for it, unique while it is open.
    std::uint64_t token = 0;
};

} // namespace bilberrylead::agreement

#endif
