#ifndef BILBERRYLEAD_AGREEMENT_SNAPSHOT_HPP
#define BILBERRYLEAD_AGREEMENT_SNAPSHOT_HPP

#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/core/bytes.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// The state machine's whole state, in place of the log up to last_index.
struct snapshot
{
    /// Index of the last entry it stands for, from 1.
    std::uint64_t last_index = 0;
    /// Term of that entry.
    std::uint64_t last_term = 0;
    /// Membership as of that entry.
    agreement::membership membership;
    /// The state machine's own encoding.
    bytes state;

    friend bool operator==(snapshot const&, snapshot const&) = default;
};

} // namespace bilberrylead::agreement

#endif
