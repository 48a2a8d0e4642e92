#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_READ_REFUSED_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_READ_REFUSED_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// This replica cannot serve an up-to-date read.
struct read_refused
{
    /// Token of the request.
    std::uint64_t token = 0;
    /// The current leader; empty if unknown.
    host_id leader;
};

} // namespace bilberrylead::agreement

#endif
