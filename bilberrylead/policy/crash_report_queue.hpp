#ifndef BILBERRYLEAD_POLICY_CRASH_REPORT_QUEUE_HPP
#define BILBERRYLEAD_POLICY_CRASH_REPORT_QUEUE_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/crash_record.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace bilberrylead::policy
{

/// Crash records that have changed and that other hosts do not have yet. The
/// first is due at once; those that follow within the interval are due together
/// at its end.
///
/// Load it answers: when the upstreams of a zone end at once, hundreds of
/// requests get a record within a tenth of a second. Each control host relays
/// each record over all of its links: sent one by one, they delay the
/// heartbeats of the replicated log until its leader is replaced.
class crash_report_queue
{
public:
    /// Minimum interval between two reports. Reports pass an entry host and two
    /// control hosts; each adds up to this to the time until all hosts know a
    /// request that crashes upstreams.
    static constexpr std::chrono::milliseconds interval{250};

    /// Adds changed records. A record replaces an earlier one of the same
    /// request.
    void add(std::vector<crash_record> const& changed);

    /// Removes and returns the records if they are due.
    std::vector<crash_record> take_due(instant now);

private:
    std::map<std::uint64_t, crash_record> unsent;
    instant due_at{};
};

} // namespace bilberrylead::policy

#endif
