#include "bilberrylead/discovery/list_reader.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bilberrylead::discovery
{

list_reader::list_reader(list_reader_settings const& chosen) : settings(chosen)
{
    assert(chosen.calls_per_second > 0 && chosen.share > 0);
}

void list_reader::set_active(bool wanted, instant now)
{
    if (wanted == this->active)
    {
        return;
    }
    this->active = wanted;
    this->open_call = 0;
    this->start_again(now);
}

void list_reader::start_again(instant when)
{
    this->next_due = when;
    this->next_page.clear();
    this->pages = 0;
    this->found.clear();
}

std::optional<page_call> list_reader::next_call(instant now)
{
    if (!this->active)
    {
        return std::nullopt;
    }
    if (this->open_call != 0)
    {
        if (now < this->call_began + this->settings.call_timeout)
        {
            return std::nullopt;
        }
        this->call_failed(this->open_call, now);
    }
    if (now < this->next_due)
    {
        return std::nullopt;
    }
    if (this->pages == 0)
    {
        this->reading_began = now;
    }
    this->open_call = ++this->last_number;
    this->call_began = now;
    return page_call{this->open_call, this->next_page};
}

std::optional<std::vector<listed_upstream>>
list_reader::page_read(std::uint64_t number, list_page const& page, instant now)
{
    if (number != this->open_call || number == 0)
    {
        return std::nullopt;
    }
    this->open_call = 0;
    ++this->pages;
    for (told_upstream const& each : page.upstreams)
    {
        this->found.push_back({each.upstream, now + each.cold_left});
    }
    duration const spacing =
        std::chrono::round<duration>(std::chrono::duration<double>(
            1.0 / (this->settings.calls_per_second * this->settings.share)));
    if (!page.next.empty() && this->pages < this->settings.most_pages)
    {
        this->next_page = page.next;
        this->next_due = std::max(now, this->call_began + spacing);
        return std::nullopt;
    }
    std::vector<listed_upstream> whole = std::move(this->found);
    this->start_again(
        std::max({now, this->reading_began + this->settings.period,
                  this->call_began + spacing}));
    this->read_at = now;
    return whole;
}

void list_reader::call_failed(std::uint64_t number, instant now)
{
    if (number != this->open_call || number == 0)
    {
        return;
    }
    this->open_call = 0;
    this->start_again(now + this->settings.failure_pause);
}

} // namespace bilberrylead::discovery
