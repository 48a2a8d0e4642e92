#ifndef BILBERRYLEAD_CORE_IDS_HPP
#define BILBERRYLEAD_CORE_IDS_HPP

#include "bilberrylead/core/strong_id.hpp"

#include <cstdint>

namespace bilberrylead
{

/// A machine that runs one of the system's processes.
using host_id = strong_id<struct host_id_tag>;
/// A group of nearby availability zones.
using region_id = strong_id<struct region_id_tag>;
/// An availability zone: a failure domain with its own entry hosts and
/// upstreams, which can become isolated from the others.
using zone_id = strong_id<struct zone_id_tag>;
/// A public service to which callers send requests.
using service_id = strong_id<struct service_id_tag>;
/// A server of the user that processes requests.
using upstream_id = strong_id<struct upstream_id_tag>;
/// A sender of requests: an account of the user, or an address block.
using caller_id = strong_id<struct caller_id_tag>;
/// A party that callers send requests for, known by its keys.
using customer_id = strong_id<struct customer_id_tag>;
/// Identifies one change made by an operator. A resend carries the same id.
using change_id = strong_id<struct change_id_tag>;
/// Identifies one request through one entry host, in logs and to upstreams.
using request_id = strong_id<struct request_id_tag>;

/// Number of an accepted configuration. Increases by one with each accepted
/// change; 0 means that none has been accepted yet.
using revision = std::uint64_t;

} // namespace bilberrylead

#endif
