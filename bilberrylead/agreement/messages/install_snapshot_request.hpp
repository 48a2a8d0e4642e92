#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_INSTALL_SNAPSHOT_REQUEST_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_INSTALL_SNAPSHOT_REQUEST_HPP

#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/core/bytes.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// One chunk of the leader's snapshot, for a member whose next entry is no
/// longer in the leader's log.
struct install_snapshot_request
{
    /// Round, as in append_request.
    std::uint64_t round = 0;
    /// Index of the last entry that the snapshot includes.
    std::uint64_t last_index = 0;
    /// Term of that entry.
    std::uint64_t last_term = 0;
    /// Membership as of that entry.
    agreement::membership membership;
    /// Size of the complete state in bytes.
    std::uint64_t total_size = 0;
    /// Offset of the chunk in the state, in bytes.
    std::uint64_t offset = 0;
    /// The chunk; empty only if the state is empty.
    bytes chunk;

    friend bool operator==(install_snapshot_request const&,
                           install_snapshot_request const&) = default;
};

} // namespace bilberrylead::agreement

#endif
