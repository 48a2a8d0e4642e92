#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_INSTALL_SNAPSHOT_REPLY_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_INSTALL_SNAPSHOT_REPLY_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Answer to an install_snapshot_request.
struct install_snapshot_reply
{
    /// Echo of the request.
    std::uint64_t round = 0;
    /// Echo of the request.
    std::uint64_t last_index = 0;
    /// How many bytes of the state the sender holds: where to go on.
    std::uint64_t next_offset = 0;
    /// True once the snapshot is durable and in force at the sender, or
    /// the sender's log had reached last_index already.
    bool installed = false;

    friend bool operator==(install_snapshot_reply const&,
                           install_snapshot_reply const&) = default;
};

} // namespace bilberrylead::agreement

#endif
