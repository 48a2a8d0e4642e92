#include "bilberrylead/discovery/list_reader.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace bilberrylead::discovery
{

namespace
{

/// Weight of one round trip in the smoothed value.
constexpr std::int64_t round_trip_divisor = 8;

/// Part of a recent peak by which it decreases with each smaller sample.
constexpr std::int64_t peak_decay_divisor = 8;

duration updated_peak(duration peak, duration sample)
{
    return std::max(sample, peak - peak / peak_decay_divisor);
}

} // namespace

list_reader::list_reader(list_reader_settings const& initial_settings)
    : settings(initial_settings)
{
    assert(initial_settings.calls_per_second > 0 && initial_settings.share > 0);
}

void list_reader::set_active(bool should_read, instant now)
{
    if (should_read == this->active)
    {
        return;
    }
    this->active = should_read;
    this->last_reading_started_at.reset();
    this->previous_reading_started_at.reset();
    this->next_due = std::max(this->next_due, now);
    this->full_scan.reset();
    this->start_reading(now);
}

std::optional<duration> list_reader::max_change_age(instant now) const
{
    std::optional<instant> const& since =
        this->has_started ? this->last_reading_started_at
                          : this->previous_reading_started_at;
    return since.has_value() ? std::optional(now - *since) : std::nullopt;
}

void list_reader::expect(std::size_t upstreams, bool only_known_zones)
{
    this->expected = upstreams;
    this->zones_are_known = only_known_zones;
}

bool list_reader::has_zone(zone_id const& zone) const
{
    return std::find(this->settings.zones.begin(), this->settings.zones.end(),
                     zone) != this->settings.zones.end();
}

void list_reader::start_reading(instant when)
{
    bool const by_zone = this->zones_are_known &&
                         !this->settings.zones.empty() &&
                         this->expected >= this->settings.zone_split_threshold;
    this->parts.assign(by_zone ? this->settings.zones.size() : 1, {});
    for (std::size_t place = 0; place < this->parts.size(); ++place)
    {
        this->parts[place].not_before = when;
        this->parts[place].zone =
            by_zone ? this->settings.zones[place] : zone_id();
    }
    bool const starts_full_scan = (this->completed_readings + 1) %
                                      this->settings.readings_per_full_scan ==
                                  0;
    if (!by_zone)
    {
        this->full_scan.reset();
    }
    else if (starts_full_scan && !this->full_scan.has_value())
    {
        this->full_scan.emplace();
        this->full_scan->not_before = when;
    }
    this->full_scan_has_called = false;
    this->leaving.clear();
    this->has_started = false;
}

duration list_reader::call_interval() const
{
    return std::chrono::round<duration>(std::chrono::duration<double>(
        1.0 / (this->settings.calls_per_second * this->settings.share)));
}

void list_reader::fail_timed_out_calls(instant now)
{
    for (list_part& each : this->parts)
    {
        this->fail_timed_out_calls(each, now);
    }
    if (this->full_scan.has_value())
    {
        this->fail_timed_out_calls(*this->full_scan, now);
    }
}

void list_reader::fail_timed_out_calls(list_part& part, instant now)
{
    instant const oldest = now - this->settings.call_timeout;
    if (part.hedge_call != 0 && part.hedge_started_at <= oldest)
    {
        this->part_failed(part, part.hedge_call, now);
    }
    if (part.pending_call != 0 && part.call_started_at <= oldest)
    {
        this->part_failed(part, part.pending_call, now);
    }
}

/// Time that one failed call adds to a reading: the second call for the page,
/// or a pause and all pages of the part again.
duration list_reader::failed_call_time() const
{
    duration const pages =
        this->round_trip * static_cast<std::int64_t>(this->pages_per_part);
    return std::max(this->settings.hedge_delay + this->round_trip,
                    this->settings.retry_delay + pages);
}

measured_legs list_reader::legs() const
{
    return {this->reading_time, this->failed_call_time(), this->delivery_time};
}

void list_reader::record_delivery(duration time)
{
    this->delivery_time = updated_peak(this->delivery_time, time);
}

duration list_reader::longest_interval() const
{
    return this->parts.size() > 1 ? this->settings.long_list_period
                                  : this->settings.period;
}

bool list_reader::keeps_budget() const
{
    duration const calls =
        this->call_interval() *
        static_cast<std::int64_t>(this->pages_per_part * this->parts.size());
    duration const needed = std::max(this->settings.budget.min_interval, calls);
    return this->settings.budget.remaining(this->legs()) >= needed;
}

/// The part whose call has been unanswered for too long, if any. Lost packets
/// hold up a connection for longer than another call takes.
list_part* list_reader::part_to_hedge(instant now)
{
    duration const delay =
        std::max(this->settings.hedge_delay, 3 * this->round_trip);
    auto const part = std::find_if(this->parts.begin(), this->parts.end(),
                                   [now, delay](list_part const& each)
                                   {
                                       return each.needs_hedge(now, delay);
                                   });
    return part == this->parts.end() ? nullptr : &*part;
}

void list_reader::record_round_trip(list_part const& part, std::uint64_t number,
                                    instant now)
{
    duration const took =
        now - (part.hedge_call == number ? part.hedge_started_at
                                         : part.call_started_at);
    this->round_trip =
        this->round_trip == duration::zero()
            ? took
            : this->round_trip + (took - this->round_trip) / round_trip_divisor;
}

/// Selects the part whose next page is requested. A full scan gets one call in
/// each reading, since with a low rate limit the zones would leave it none,
/// and otherwise the calls that the zones do not need.
list_part* list_reader::due_part(instant now)
{
    bool const full_scan_is_due =
        this->full_scan.has_value() && this->full_scan->is_due(now);
    if (full_scan_is_due && !this->full_scan_has_called)
    {
        this->full_scan_has_called = true;
        return &*this->full_scan;
    }
    auto const part = std::find_if(this->parts.begin(), this->parts.end(),
                                   [now](list_part const& each)
                                   {
                                       return each.is_due(now);
                                   });
    if (part != this->parts.end())
    {
        // Parts are read round-robin, so that all end at about the same time.
        std::rotate(part, std::next(part), this->parts.end());
        return &this->parts.back();
    }
    return full_scan_is_due ? &*this->full_scan : nullptr;
}

std::optional<page_call> list_reader::next_call(instant now)
{
    if (!this->active)
    {
        return std::nullopt;
    }
    this->fail_timed_out_calls(now);
    if (now < this->next_due)
    {
        return std::nullopt;
    }
    list_part* part = this->part_to_hedge(now);
    if (part == nullptr)
    {
        part = this->due_part(now);
    }
    return part == nullptr ? std::nullopt : this->start_call(*part, now);
}

std::optional<page_call> list_reader::start_call(list_part& part, instant now)
{
    if (!this->has_started)
    {
        this->has_started = true;
        this->reading_started_at = now;
    }
    bool const is_hedge = part.pending_call != 0;
    ++this->last_number;
    (is_hedge ? part.hedge_call : part.pending_call) = this->last_number;
    (is_hedge ? part.hedge_started_at : part.call_started_at) = now;
    duration const burst =
        scaled(this->call_interval(), this->settings.max_burst_calls);
    this->next_due =
        std::max(this->next_due, now - burst) + this->call_interval();
    return page_call{this->last_number, part.zone, part.next_page, is_hedge};
}

list_part* list_reader::part_of(std::uint64_t number)
{
    if (this->full_scan.has_value() && this->full_scan->waits_for(number))
    {
        return &*this->full_scan;
    }
    auto const found = std::find_if(this->parts.begin(), this->parts.end(),
                                    [number](list_part const& each)
                                    {
                                        return each.waits_for(number);
                                    });
    return found == this->parts.end() ? nullptr : &*found;
}

std::vector<listed_upstream> list_reader::collect_upstreams()
{
    std::vector<listed_upstream> all_upstreams;
    for (list_part& each : this->parts)
    {
        std::move(each.upstreams.begin(), each.upstreams.end(),
                  std::back_inserter(all_upstreams));
    }
    return all_upstreams;
}

void list_reader::full_scan_page_received(list_page const& page)
{
    this->full_scan->advance(page.next, this->settings.max_pages);
    bool const is_known =
        std::all_of(page.upstreams.begin(), page.upstreams.end(),
                    [this](reported_upstream const& each)
                    {
                        return this->has_zone(each.upstream.zone);
                    });
    this->zones_are_known = this->zones_are_known && is_known;
    if (!is_known || this->full_scan->complete)
    {
        this->full_scan.reset();
    }
}

std::optional<std::vector<listed_upstream>>
list_reader::page_received(std::uint64_t number, list_page const& page,
                           instant now)
{
    list_part* const part = this->part_of(number);
    if (part == nullptr)
    {
        return std::nullopt;
    }
    if (this->full_scan.has_value() && part == &*this->full_scan)
    {
        this->full_scan_page_received(page);
        return std::nullopt;
    }
    this->record_round_trip(*part, number, now);
    part->advance(page.next, this->settings.max_pages);
    part->unreadable += page.unreadable;
    for (reported_upstream const& each : page.upstreams)
    {
        part->upstreams.push_back(
            {each.upstream, now + each.cold_remaining, each.started_at});
        if (each.upstream.leaving)
        {
            this->leaving.push_back(part->upstreams.back());
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
    std::vector<listed_upstream> all_upstreams = this->collect_upstreams();
    this->last_reading_is_whole =
        std::all_of(this->parts.begin(), this->parts.end(),
                    [](list_part const& each)
                    {
                        return each.unreadable == 0;
                    });
    this->pages_per_part =
        std::max_element(this->parts.begin(), this->parts.end(),
                         [](list_part const& one, list_part const& other)
                         {
                             return one.pages < other.pages;
                         })
            ->pages;
    ++this->completed_readings;
    this->previous_reading_started_at =
        std::exchange(this->last_reading_started_at, this->reading_started_at);
    this->last_read_at = now;
    this->reading_time =
        updated_peak(this->reading_time, now - this->reading_started_at);
    bool const by_zone = !this->parts.front().zone.empty();
    this->expected = all_upstreams.size();
    if (!by_zone)
    {
        // A reading by zone cannot show upstreams in unknown zones.
        this->zones_are_known =
            std::all_of(all_upstreams.begin(), all_upstreams.end(),
                        [this](listed_upstream const& each)
                        {
                            return this->has_zone(each.upstream.zone);
                        });
    }
    duration const interval = this->settings.budget.reading_interval(
        this->legs(), this->longest_interval());
    this->start_reading(std::max(now, this->reading_started_at + interval));
    // A list that does not change causes no deliveries.
    this->record_delivery(duration::zero());
    return all_upstreams;
}

void list_reader::call_failed(std::uint64_t number, instant now)
{
    list_part* const part = this->part_of(number);
    if (part != nullptr)
    {
        this->part_failed(*part, number, now);
    }
}

void list_reader::part_failed(list_part& part, std::uint64_t number,
                              instant now)
{
    if (part.drop_call(number))
    {
        duration const delay = this->settings.retry_delay *
                               (std::int64_t{1} << std::min(part.failures, 8U));
        ++part.failures;
        part.restart(now + std::min(delay, this->settings.max_retry_delay));
    }
}

} // namespace bilberrylead::discovery
