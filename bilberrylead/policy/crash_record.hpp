#ifndef BILBERRYLEAD_POLICY_CRASH_RECORD_HPP
#define BILBERRYLEAD_POLICY_CRASH_RECORD_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <set>

namespace bilberrylead::policy
{

/// The upstreams that ended while they ran one request. Hosts exchange and
/// merge these records: a higher generation replaces a lower one, and records
/// of the same generation are united.
struct crash_record
{
    /// Digest of the request; never 0.
    std::uint64_t digest = 0;
    /// Incremented each time the request is cleared.
    std::uint64_t generation = 0;
    /// Upstreams that ended since it was last cleared, each as often as
    /// incarnations of it ended. An upstream may start again under its id.
    std::multiset<upstream_id> ended_upstreams;

    friend bool operator==(crash_record const&, crash_record const&) = default;
};

} // namespace bilberrylead::policy

#endif
