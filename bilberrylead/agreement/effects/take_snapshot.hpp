#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_TAKE_SNAPSHOT_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_TAKE_SNAPSHOT_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Encode the state machine as it stands now and report snapshot_taken,
/// at leisure; asked once until answered.
struct take_snapshot
{
    /// Last applied index.
    std::uint64_t index = 0;
};

} // namespace bilberrylead::agreement

#endif
