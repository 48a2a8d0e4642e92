#ifndef BILBERRYLEAD_DISCOVERY_LIST_READER_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_READER_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_page.hpp"
#include "bilberrylead/discovery/list_reader_settings.hpp"
#include "bilberrylead/discovery/listed_upstream.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberrylead::discovery
{

/// Ask for one page of the list.
struct page_call
{
    /// Number of the call, for its answer.
    std::uint64_t number = 0;
    /// Names the page; empty for the first.
    std::string page;
};

/// Reads the list of upstreams page by page, no faster than the list
/// allows. One host of the group reads at a time: whoever leads, so that
/// the calls, which are counted over all hosts, stay within the bound. A
/// reducer without clock or I/O.
class list_reader
{
public:
    /// Makes a reader that does not read yet.
    explicit list_reader(list_reader_settings const& settings);

    /// Starts or stops reading; an answer that is still on its way to a
    /// reader that was stopped counts for nothing.
    void set_active(bool wanted, instant now);

    /// The call that is due now, if any. Its answer, or its failure, is
    /// reported by page_read or call_failed.
    std::optional<page_call> next_call(instant now);

    /// A page came; gives the whole list once its last page is here.
    std::optional<std::vector<listed_upstream>>
    page_read(std::uint64_t number, list_page const& page, instant now);

    /// A call failed; the reading starts again after a pause.
    void call_failed(std::uint64_t number, instant now);

    /// What the pages of the reading under way had so far.
    std::vector<listed_upstream> const& found_so_far() const
    {
        return this->found;
    }

    /// When the list was last read whole; nothing if it never was.
    std::optional<instant> last_read() const
    {
        return this->read_at;
    }

private:
    void start_again(instant when);

    list_reader_settings settings;
    bool active = false;
    std::uint64_t last_number = 0;
    /// The call under way; 0 if there is none.
    std::uint64_t open_call = 0;
    instant call_began{};
    instant next_due{};
    instant reading_began{};
    std::string next_page;
    std::size_t pages = 0;
    std::vector<listed_upstream> found;
    std::optional<instant> read_at;
};

} // namespace bilberrylead::discovery

#endif
