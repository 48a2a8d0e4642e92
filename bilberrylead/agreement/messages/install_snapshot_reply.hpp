#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_INSTALL_SNAPSHOT_REPLY_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_INSTALL_SNAPSHOT_REPLY_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Reply to an install_snapshot_request.
struct install_snapshot_reply
{
    /// Echo of the request.
    std::uint64_t round = 0;
    /// Echo of the request.
    std::uint64_t last_index = 0;
    /// Bytes of the state that the sender holds: the offset of the next chunk.
    std::uint64_t next_offset = 0;
    /// True once the snapshot is durable and installed at the sender, or if the
    /// sender had already committed up to last_index.
    bool installed = false;

    friend bool operator==(install_snapshot_reply const&,
                           install_snapshot_reply const&) = default;
};

} // namespace bilberrylead::agreement

#endif
