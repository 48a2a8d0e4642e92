#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_INSTALL_SNAPSHOT_REQUEST_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_INSTALL_SNAPSHOT_REQUEST_HPP

#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/core/bytes.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// One chunk of the leader's snapshot, for a member whose next entry the
/// leader no longer has.
struct install_snapshot_request
{
    /// As in append_request.
    std::uint64_t round = 0;
    /// Index of the last entry the snapshot stands for.
    std::uint64_t last_index = 0;
    /// Term of that entry.
    std::uint64_t last_term = 0;
    /// Membership as of that entry.
    agreement::membership membership;
    /// Bytes of the whole state.
    std::uint64_t total_size = 0;
    /// Where in the state the chunk starts.
    std::uint64_t offset = 0;
    /// The chunk; may be empty only if the state is.
    bytes chunk;

    friend bool operator==(install_snapshot_request const&,
                           install_snapshot_request const&) = default;
};

} // namespace bilberrylead::agreement

#endif
