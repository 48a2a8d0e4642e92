#ifndef BILBERRYLEAD_DISCOVERY_LIST_READER_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_READER_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_page.hpp"
#include "bilberrylead/discovery/list_part.hpp"
#include "bilberrylead/discovery/list_reader_settings.hpp"
#include "bilberrylead/discovery/listed_upstream.hpp"
#include "bilberrylead/discovery/page_call.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bilberrylead::discovery
{

/// Reads the upstream list page by page, within the rate limit of its API.
/// Only the leader reads, so that the calls, which are counted over all hosts,
/// stay within the limit. A reducer without clock or I/O.
///
/// Each page identifies the next one, so that every page costs a round trip.
/// For a list of thirty pages in another region, a leaving upstream would be
/// found only after seconds. A long list is therefore read by zone, all zones
/// concurrently. From time to time a full scan over all zones looks for zones
/// that are not in this host's settings. It runs concurrently with the readings
/// by zone and delays none of them.
class list_reader
{
public:
    /// Makes an inactive reader.
    explicit list_reader(list_reader_settings const& settings);

    /// Starts or stops reading. Answers to calls that were in flight when the
    /// reader was stopped are ignored.
    void set_active(bool should_read, instant now);

    /// True while the reader is reading.
    bool is_active() const
    {
        return this->active;
    }

    /// Sets the expected number of upstreams, and whether all of them are in
    /// known zones, until this reader has completed its first reading.
    void expect(std::size_t upstreams, bool only_known_zones);

    /// True if a zone is among the zones in the settings.
    bool has_zone(zone_id const& zone) const;

    /// Returns a call that is due now, if any; there may be more. The result
    /// of the call is passed to page_received or call_failed.
    std::optional<page_call> next_call(instant now);

    /// Handles a received page. Returns the complete list once its last page
    /// has been read.
    std::optional<std::vector<listed_upstream>>
    page_received(std::uint64_t number, list_page const& page, instant now);

    /// Handles a failed call. Unless a second call for the same page is in
    /// flight, its part of the list is read again from the first page after
    /// `retry_delay`.
    void call_failed(std::uint64_t number, instant now);

    /// True if every entry of the last complete reading could be decoded, so
    /// that an upstream that it lacks is not listed.
    bool is_last_reading_whole() const
    {
        return this->last_reading_is_whole;
    }

    /// The leaving upstreams on the pages of the current reading.
    std::vector<listed_upstream> const& leaving_so_far() const
    {
        return this->leaving;
    }

    /// Longest time for which the list may have shown a change that the
    /// current or the last completed reading found: since the start of the
    /// reading before. Empty if there is none.
    std::optional<duration> max_change_age(instant now) const;

    /// Records the time from the sending of a listing to its last confirmation.
    /// Slow deliveries make the readings more frequent.
    void record_delivery(duration time);

    /// False if the list, or the delivery of listings, is too slow for a
    /// leaving upstream to be out of use within its bound.
    bool keeps_budget() const;

    /// Time at which the list was last read completely, if ever.
    std::optional<instant> last_read() const
    {
        return this->last_read_at;
    }

private:
    void start_reading(instant when);
    void fail_timed_out_calls(instant now);
    void fail_timed_out_calls(list_part& part, instant now);
    void part_failed(list_part& part, std::uint64_t number, instant now);
    std::optional<page_call> start_call(list_part& part, instant now);
    list_part* due_part(instant now);
    list_part* part_to_hedge(instant now);
    void record_round_trip(list_part const& part, std::uint64_t number,
                           instant now);
    duration failed_call_time() const;
    measured_legs legs() const;
    duration longest_interval() const;
    void full_scan_page_received(list_page const& page);
    duration call_interval() const;
    list_part* part_of(std::uint64_t number);
    std::vector<listed_upstream> collect_upstreams();

    list_reader_settings settings;
    bool active = false;
    std::uint64_t last_number = 0;
    instant next_due{};
    instant reading_started_at{};
    // Starts of the last two readings that were completed, if there are any.
    std::optional<instant> last_reading_started_at;
    std::optional<instant> previous_reading_started_at;
    bool has_started = false;
    std::size_t completed_readings = 0;
    // Smoothed time from a call to its answer; zero before the first.
    duration round_trip{};
    // Recent peaks of the time from the start of a reading to its end, and of
    // the time in which a listing was delivered.
    duration reading_time{};
    duration delivery_time{};
    // Pages of the longest part of the last reading.
    std::size_t pages_per_part = 1;
    std::size_t expected = 0;
    bool zones_are_known = false;
    std::vector<list_part> parts;
    std::optional<list_part> full_scan;
    // True once the full scan has had a call in the current reading.
    bool full_scan_has_called = false;
    std::vector<listed_upstream> leaving;
    bool last_reading_is_whole = false;
    std::optional<instant> last_read_at;
};

} // namespace bilberrylead::discovery

#endif
