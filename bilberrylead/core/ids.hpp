#ifndef BILBERRYLEAD_CORE_IDS_HPP
#define BILBERRYLEAD_CORE_IDS_HPP

#include "bilberrylead/core/strong_id.hpp"

#include <cstdint>

namespace bilberrylead
{

/// A machine that runs one of the system's processes.
using host_id = strong_id<struct host_id_tag>;
/// A set of availability zones near one another.
using region_id = strong_id<struct region_id_tag>;
/// A place with its own entry hosts and upstreams that can be cut off.
using zone_id = strong_id<struct zone_id_tag>;
/// A public service that callers ask for.
using service_id = strong_id<struct service_id_tag>;
/// A server of the user's that runs requests.
using upstream_id = strong_id<struct upstream_id_tag>;
/// Who sends requests: an account of the user's, or an address block.
using caller_id = strong_id<struct caller_id_tag>;
/// Names one operator's change; a resend carries the same one.
using change_id = strong_id<struct change_id_tag>;
/// Names one request through one entry host, for logs and for upstreams.
using request_id = strong_id<struct request_id_tag>;

/// Number of an accepted configuration; grows by one with each accepted
/// change, 0 is "none yet".
using revision = std::uint64_t;

} // namespace bilberrylead

#endif
