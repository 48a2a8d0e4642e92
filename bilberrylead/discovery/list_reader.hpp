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

/// Reads the list of upstreams page by page, no faster than the list
/// allows. One host of the group reads at a time: whoever leads, so that
/// the calls, which are counted over all hosts, stay within the bound. A
/// reducer without clock or I/O.
///
/// Load it answers: a list of many pages in another region. A page names the
/// next one, so that pages cost a round trip each: with thirty of them an
/// upstream that leaves is found after seconds. A long list is therefore
/// read by zone, all zones at the same time. Now and then a survey of the
/// list of all zones looks for zones that this host was not told of; it goes
/// on beside the readings by zone and holds none of them up.
class list_reader
{
public:
    /// Makes a reader that does not read yet.
    explicit list_reader(list_reader_settings const& settings);

    /// Starts or stops reading; an answer that is still on its way to a
    /// reader that was stopped counts for nothing.
    void set_active(bool should_read, instant now);

    /// True if it reads.
    bool is_active() const
    {
        return this->active;
    }

    /// What the list is expected to hold, before the first reading of this
    /// reader has ended: `upstreams` of them, in known zones only or not.
    void expect(std::size_t upstreams, bool only_known_zones);

    /// True if a zone is among those by which the list is read.
    bool has_zone(zone_id const& zone) const;

    /// A call that is due now, if any; there may be more. Its answer, or its
    /// failure, is reported by page_read or call_failed.
    std::optional<page_call> next_call(instant now);

    /// A page came; gives the whole list once its last page is here.
    std::optional<std::vector<listed_upstream>>
    page_received(std::uint64_t number, list_page const& page, instant now);

    /// A call failed; its part of the reading starts again after a pause.
    void call_failed(std::uint64_t number, instant now);

    /// The upstreams that leave, by the pages of the reading under way.
    std::vector<listed_upstream> const& leaving_so_far() const
    {
        return this->leaving;
    }

    /// When the list was last read whole; nothing if it never was.
    std::optional<instant> last_read() const
    {
        return this->last_read_at;
    }

private:
    void start_reading(instant when);
    void fail_timed_out_calls(instant now);
    list_part* due_part(instant now);
    void full_scan_page_received(list_page const& page);
    duration call_interval() const;
    list_part* part_of(std::uint64_t number);
    std::vector<listed_upstream> collect_upstreams();

    list_reader_settings settings;
    bool active = false;
    std::uint64_t last_number = 0;
    instant next_due{};
    instant reading_started_at{};
    bool has_started = false;
    std::size_t completed_readings = 0;
    std::size_t expected = 0;
    bool zones_are_known = false;
    std::vector<list_part> parts;
    std::optional<list_part> full_scan;
    // True once the survey had a call in the reading under way.
    bool full_scan_has_called = false;
    std::vector<listed_upstream> leaving;
    std::optional<instant> last_read_at;
};

} // namespace bilberrylead::discovery

#endif
