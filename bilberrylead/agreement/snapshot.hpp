#ifndef BILBERRYLEAD_AGREEMENT_SNAPSHOT_HPP
#define BILBERRYLEAD_AGREEMENT_SNAPSHOT_HPP

#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/core/bytes.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// The complete state of the state machine, which replaces the log up to
/// last_index.
struct snapshot
{
    /// Index of the last entry that the state includes, from 1.
    std::uint64_t last_index = 0;
    /// Term of that entry.
    std::uint64_t last_term = 0;
    /// Membership as of that entry.
    agreement::membership membership;
    /// The state, in the state machine's own encoding.
    bytes state;

    friend bool operator==(snapshot const&, snapshot const&) = default;
};

} // namespace bilberrylead::agreement

#endif
