#ifndef BILBERRYLEAD_DISCOVERY_LIST_READER_SETTINGS_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_READER_SETTINGS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/leaving_time_budget.hpp"

#include <chrono>
#include <cstddef>
#include <vector>

namespace bilberrylead::discovery
{

/// How the upstream list is read.
struct list_reader_settings
{
    /// Longest interval from the start of one reading to the next; shorter if
    /// the budget requires it.
    duration period = std::chrono::milliseconds(800);
    /// The same for a list that is read by zone. It takes many calls, which
    /// are paid for.
    duration long_list_period = std::chrono::milliseconds(1600);
    /// Time within which a leaving upstream must be out of use.
    leaving_time_budget budget;
    /// Rate limit of the list for all hosts together, calls a second; over 0.
    double calls_per_second = 10;
    /// Share of the rate limit that this reader may use, over 0. During a
    /// change of leader two hosts may read at the same time.
    double share = 0.4;
    /// Maximum number of overdue calls that may be made at once. The timer
    /// that drives the reader is coarser than the call interval of a list
    /// with a high rate limit.
    double max_burst_calls = 3;
    /// Time after which a call without an answer has failed.
    duration call_timeout = std::chrono::milliseconds(1000);
    /// Time without an answer after which a call is made a second time over
    /// another connection; at least three usual round trips.
    duration hedge_delay = std::chrono::milliseconds(300);
    /// Delay after a failed call. Doubles with each further failure of the same
    /// part, up to `max_retry_delay`.
    duration retry_delay = std::chrono::milliseconds(150);
    /// Upper bound on that delay.
    duration max_retry_delay = std::chrono::milliseconds(1000);
    /// Maximum number of pages of one part in one reading, in case the list
    /// never ends.
    std::size_t max_pages = 10000;
    /// The zones by which a long list is read; if empty, it is never read by
    /// zone.
    std::vector<zone_id> zones;
    /// Number of upstreams from which the list is read by zone. A shorter list
    /// has fewer pages than there would be with a page for each zone.
    std::size_t zone_split_threshold = 600;
    /// Number of readings by zone from one full scan to the next, at least 1.
    /// A full scan shows upstreams in zones that are not in the settings.
    std::size_t readings_per_full_scan = 16;
};

} // namespace bilberrylead::discovery

#endif
