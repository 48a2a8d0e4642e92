#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_READ_REFUSED_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_READ_REFUSED_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// No up-to-date read here.
struct read_refused
{
    /// As in the request.
    std::uint64_t token = 0;
    /// Who leads, as far as known; empty if unknown.
    host_id leader;
};

} // namespace bilberrylead::agreement

#endif
