#ifndef BILBERRYLEAD_CONFIG_ENTRY_HOST_HPP
#define BILBERRYLEAD_CONFIG_ENTRY_HOST_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/labels.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::config
{

/// A host that takes callers' requests and carries them to upstreams.
struct entry_host
{
    /// Name, unique in the configuration.
    host_id id;
    /// The availability zone it stands in.
    zone_id zone;
    /// Where callers reach it.
    endpoint address;
    /// Where other processes of the system reach it (neighbours that catch
    /// up, in a cut-off zone too).
    endpoint peer_address;
    /// What selectors match.
    config::labels labels;
    /// Share of its zone's callers it is meant for, against the other entry
    /// hosts of the zone; 0 is none.
    std::uint32_t weight = 100;
    /// True once an operator drains it: no new callers are sent there.
    bool leaving = false;

    friend bool operator==(entry_host const&, entry_host const&) = default;
};

} // namespace bilberrylead::config

#endif
