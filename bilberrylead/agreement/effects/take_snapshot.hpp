#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_TAKE_SNAPSHOT_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_TAKE_SNAPSHOT_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Encode the current state of the state machine and report snapshot_taken, at
/// any later time. Not requested again until answered.
struct take_snapshot
{
    /// Last applied index.
    std::uint64_t index = 0;
};

} // namespace bilberrylead::agreement

#endif
