#include "bilberrylead/discovery/list_reader.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
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
    this->next_due = std::max(this->next_due, now);
    this->survey.reset();
    this->start_reading(now);
}

void list_reader::expect(std::size_t upstreams, bool only_known_zones)
{
    this->expected = upstreams;
    this->zones_are_known = only_known_zones;
}

bool list_reader::knows_zone(zone_id const& zone) const
{
    return std::find(this->settings.zones.begin(), this->settings.zones.end(),
                     zone) != this->settings.zones.end();
}

void list_reader::start_reading(instant when)
{
    bool const by_zone = this->zones_are_known &&
                         !this->settings.zones.empty() &&
                         this->expected >= this->settings.split_from;
    this->parts.assign(by_zone ? this->settings.zones.size() : 1, {});
    for (std::size_t place = 0; place < this->parts.size(); ++place)
    {
        this->parts[place].not_before = when;
        this->parts[place].zone =
            by_zone ? this->settings.zones[place] : zone_id();
    }
    bool const wants_survey =
        (this->readings + 1) % this->settings.survey_each == 0;
    if (!by_zone)
    {
        this->survey.reset();
    }
    else if (wants_survey && !this->survey.has_value())
    {
        this->survey.emplace();
        this->survey->not_before = when;
    }
    this->has_surveyed = false;
    this->leaving.clear();
    this->has_begun = false;
}

duration list_reader::spacing() const
{
    return std::chrono::round<duration>(std::chrono::duration<double>(
        1.0 / (this->settings.calls_per_second * this->settings.share)));
}

void list_reader::give_up_late_calls(instant now)
{
    instant const oldest = now - this->settings.call_timeout;
    for (list_part const& each : this->parts)
    {
        if (each.open_call != 0 && each.call_began <= oldest)
        {
            this->call_failed(each.open_call, now);
        }
    }
    if (this->survey.has_value() && this->survey->open_call != 0 &&
        this->survey->call_began <= oldest)
    {
        this->call_failed(this->survey->open_call, now);
    }
}

/// The survey has one call in each reading, since a list that takes few calls
/// leaves it no time between them, and besides that what the zones leave.
list_part* list_reader::due_part(instant now)
{
    bool const survey_is_due =
        this->survey.has_value() && this->survey->is_due(now);
    if (survey_is_due && !this->has_surveyed)
    {
        this->has_surveyed = true;
        return &*this->survey;
    }
    auto const part = std::find_if(this->parts.begin(), this->parts.end(),
                                   [now](list_part const& each)
                                   {
                                       return each.is_due(now);
                                   });
    if (part != this->parts.end())
    {
        // Parts take turns, so that all of them end at about the same time.
        std::rotate(part, std::next(part), this->parts.end());
        return &this->parts.back();
    }
    return survey_is_due ? &*this->survey : nullptr;
}

std::optional<page_call> list_reader::next_call(instant now)
{
    if (!this->active)
    {
        return std::nullopt;
    }
    this->give_up_late_calls(now);
    if (now < this->next_due)
    {
        return std::nullopt;
    }
    list_part* const part = this->due_part(now);
    if (part == nullptr)
    {
        return std::nullopt;
    }
    if (!this->has_begun)
    {
        this->has_begun = true;
        this->reading_began = now;
    }
    part->open_call = ++this->last_number;
    part->call_began = now;
    duration const saved =
        scaled(this->spacing(), this->settings.most_saved_calls);
    this->next_due = std::max(this->next_due, now - saved) + this->spacing();
    return page_call{part->open_call, part->zone, part->next_page};
}

list_part* list_reader::part_of(std::uint64_t number)
{
    if (number == 0)
    {
        return nullptr;
    }
    if (this->survey.has_value() && this->survey->open_call == number)
    {
        return &*this->survey;
    }
    auto const found = std::find_if(this->parts.begin(), this->parts.end(),
                                    [number](list_part const& each)
                                    {
                                        return each.open_call == number;
                                    });
    return found == this->parts.end() ? nullptr : &*found;
}

std::vector<listed_upstream> list_reader::take_all()
{
    std::vector<listed_upstream> whole;
    for (list_part& each : this->parts)
    {
        std::move(each.found.begin(), each.found.end(),
                  std::back_inserter(whole));
    }
    return whole;
}

void list_reader::survey_page_read(list_page const& page)
{
    this->survey->advance(page.next, this->settings.most_pages);
    bool const is_known =
        std::all_of(page.upstreams.begin(), page.upstreams.end(),
                    [this](told_upstream const& each)
                    {
                        return this->knows_zone(each.upstream.zone);
                    });
    this->zones_are_known = this->zones_are_known && is_known;
    if (!is_known || this->survey->complete)
    {
        this->survey.reset();
    }
}

std::optional<std::vector<listed_upstream>>
list_reader::page_read(std::uint64_t number, list_page const& page, instant now)
{
    list_part* const part = this->part_of(number);
    if (part == nullptr)
    {
        return std::nullopt;
    }
    if (this->survey.has_value() && part == &*this->survey)
    {
        this->survey_page_read(page);
        return std::nullopt;
    }
    part->advance(page.next, this->settings.most_pages);
    for (told_upstream const& each : page.upstreams)
    {
        part->found.push_back({each.upstream, now + each.cold_left});
        if (each.upstream.leaving)
        {
            this->leaving.push_back(part->found.back());
        }
    }
    if (!std::all_of(this->parts.begin(), this->parts.end(),
                     [](list_part const& each)
                     {
                         return each.complete;
                     }))
    {
        return std::nullopt;
    }
    std::vector<listed_upstream> whole = this->take_all();
    ++this->readings;
    this->read_at = now;
    bool const by_zone = !this->parts.front().zone.empty();
    this->expected = whole.size();
    if (!by_zone)
    {
        // By zone only known ones are seen.
        this->zones_are_known =
            std::all_of(whole.begin(), whole.end(),
                        [this](listed_upstream const& each)
                        {
                            return this->knows_zone(each.upstream.zone);
                        });
    }
    duration const period = this->parts.size() > 1
                                ? this->settings.long_list_period
                                : this->settings.period;
    this->start_reading(std::max(now, this->reading_began + period));
    return whole;
}

void list_reader::call_failed(std::uint64_t number, instant now)
{
    list_part* const part = this->part_of(number);
    if (part != nullptr)
    {
        part->start_again(now + this->settings.failure_pause);
    }
}

} // namespace bilberrylead::discovery
