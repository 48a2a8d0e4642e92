#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_SNAPSHOT_TAKEN_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_SNAPSHOT_TAKEN_HPP

#include "bilberrylead/core/bytes.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// The state machine has encoded its state, as requested by take_snapshot.
struct snapshot_taken
{
    /// Index from take_snapshot: the last entry that the state includes.
    std::uint64_t index = 0;
    /// The state, in the state machine's own encoding.
    bytes state;
};

} // namespace bilberrylead::agreement

#endif
