#ifndef BILBERRYLEAD_POLICY_CRASH_RECORD_HPP
#define BILBERRYLEAD_POLICY_CRASH_RECORD_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <set>

namespace bilberrylead::policy
{

/// Which upstreams ended while they ran one request. Hosts exchange these
/// and merge them: a higher generation replaces a lower one, equal ones are
/// united.
struct crash_record
{
    /// Digest of the request; never 0.
    std::uint64_t digest = 0;
    /// Grows by one each time a whole answer clears the request.
    std::uint64_t generation = 0;
    /// Incarnations that ended since then.
    std::set<upstream_id> ended_upstreams;

    friend bool operator==(crash_record const&, crash_record const&) = default;
};

} // namespace bilberrylead::policy

#endif
