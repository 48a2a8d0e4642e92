#ifndef BILBERRYLEAD_DISCOVERY_LIST_READER_SETTINGS_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_READER_SETTINGS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <vector>

namespace bilberrylead::discovery
{

/// How the list of upstreams is read.
struct list_reader_settings
{
    /// From one reading to the next. An upstream that leaves must be out of
    /// use within seconds of being listed so; a reading, its way to the
    /// entry hosts and one failed reading fit three times into three
    /// seconds.
    duration period = std::chrono::milliseconds(800);
    /// The same for a list that is read by zone: its many calls are paid for,
    /// and one reading with its way to the entry hosts still fits well into
    /// three seconds.
    duration long_list_period = std::chrono::milliseconds(1600);
    /// Calls a second that the list takes from all hosts together; over 0.
    double calls_per_second = 10;
    /// Share of those that this reader uses at most: during a change of
    /// leader two hosts may read at the same time.
    double share = 0.4;
    /// Calls that may be made up for at once when the reader was asked late.
    /// It is asked by a timer that is coarser than a fast list's pauses.
    double max_burst_calls = 3;
    /// A call without an answer has failed after this time.
    duration call_timeout = std::chrono::milliseconds(1000);
    /// Pause after a failed call.
    duration retry_delay = std::chrono::milliseconds(250);
    /// Pages of one part of one reading at most, against a list without end.
    std::size_t max_pages = 10000;
    /// The zones by which a long list is read in parts; empty: never.
    std::vector<zone_id> zones;
    /// Upstreams from which on the list is read by zone. Below that it has
    /// few pages, and one for each zone would be more of them.
    std::size_t zone_split_threshold = 600;
    /// Readings by zone from one survey of all zones to the next, at least 1:
    /// a survey shows upstreams in zones that this host was not told of.
    std::size_t readings_per_full_scan = 16;
};

} // namespace bilberrylead::discovery

#endif
