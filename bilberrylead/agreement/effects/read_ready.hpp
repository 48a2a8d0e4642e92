#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_READ_READY_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_READ_READY_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// The state machine, as applied by the effects before this one, includes
/// everything accepted anywhere before the read was asked for.
struct read_ready
{
    /// As in the request.
    std::uint64_t token = 0;
    /// Last applied index.
    std::uint64_t index = 0;
};

} // namespace bilberrylead::agreement

#endif
