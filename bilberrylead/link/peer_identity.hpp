#ifndef BILBERRYLEAD_LINK_PEER_IDENTITY_HPP
#define BILBERRYLEAD_LINK_PEER_IDENTITY_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::link
{

/// What a process of the system is.
enum class peer_role : std::uint8_t
{
    /// Keeps a replica of the log.
    control = 1,
    /// Carries callers' requests.
    entry = 2,
};

/// Who is at the other end of a link, proven by the shared key.
struct peer_identity
{
    /// The host, as settings name it.
    host_id id;
    /// What runs there.
    peer_role role = peer_role::entry;
    /// Number of this life of the process or its disk; a later life has a
    /// larger one or, for a lost disk, another one.
    std::uint64_t incarnation = 0;

    friend bool operator==(peer_identity const&,
                           peer_identity const&) = default;
};

} // namespace bilberrylead::link

#endif
