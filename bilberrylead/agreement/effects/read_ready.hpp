#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_READ_READY_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_READ_READY_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// The state machine, as applied by the preceding effects, includes everything
/// accepted on any host before the read was requested.
struct read_ready
{
    /// Token of the request.
    std::uint64_t token = 0;
    /// Last applied index.
    std::uint64_t index = 0;
};

} // namespace bilberrylead::agreement

#endif
