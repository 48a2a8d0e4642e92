#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_SNAPSHOT_TAKEN_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_SNAPSHOT_TAKEN_HPP

#include "bilberrylead/core/bytes.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// The state machine encoded itself, as take_snapshot asked.
struct snapshot_taken
{
    /// The index of take_snapshot: the last entry the state includes.
    std::uint64_t index = 0;
    /// The state machine's encoding.
    bytes state;
};

} // namespace bilberrylead::agreement

#endif
