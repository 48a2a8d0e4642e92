#include "bilberrylead/load/upstream_model.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bilberrylead::load
{

namespace
{

constexpr std::uint32_t whole = 100;

/// Samples that the largest lag of a busy upstream needs; older ones go.
constexpr std::size_t most_samples = 100'000;

duration scaled(duration time, std::uint32_t percent)
{
    return time * percent / whole;
}

} // namespace

upstream_model::upstream_model(stand_in_behaviour const& initial,
                               std::uint64_t initial_seed, instant now)
    : behaviour(initial), seed(initial_seed), random(initial_seed),
      started_at(now), last_arrival(now)
{
    this->note_load(now);
}

bool upstream_model::connection_opened()
{
    if (this->open_connections >= this->behaviour.connections)
    {
        ++this->statistics.connections_refused;
        return false;
    }
    ++this->open_connections;
    this->statistics.connections_peak =
        std::max(this->statistics.connections_peak, this->open_connections);
    return true;
}

void upstream_model::connection_closed()
{
    assert(this->open_connections > 0);
    --this->open_connections;
}

arrival upstream_model::arrive(instant now)
{
    ++this->statistics.arrived;
    this->last_arrival = now;
    bool const free_slot = this->in_use < this->behaviour.slots;
    bool const may_wait = this->waiting < this->behaviour.queue;
    if (this->draw(this->behaviour.shed_percent) || (!free_slot && !may_wait))
    {
        ++this->statistics.shed;
        return arrival::shed;
    }
    (free_slot ? this->in_use : this->waiting) += 1;
    this->statistics.present_peak =
        std::max(this->statistics.present_peak, this->in_use + this->waiting);
    this->note_load(now);
    return free_slot ? arrival::run : arrival::wait;
}

work_lot upstream_model::start(std::string_view request, std::string_view key,
                               instant now)
{
    ++this->statistics.started;
    this->runs.add(request, key);
    work_lot lot;
    lot.work = this->draw_work(now);
    if (this->draw(this->behaviour.late_percent))
    {
        lot.late = this->behaviour.late;
    }
    lot.swapped = this->draw(this->behaviour.swap_percent);
    lot.duplicated = this->draw(this->behaviour.duplicate_percent);
    lot.cut = this->draw(this->behaviour.cut_percent);
    lot.dropped = this->draw(this->behaviour.drop_percent);
    return lot;
}

bool upstream_model::release(instant now)
{
    assert(this->in_use > 0);
    // After the number of slots was lowered, nobody inherits this one.
    bool const inherited =
        this->waiting > 0 && this->in_use <= this->behaviour.slots;
    (inherited ? this->waiting : this->in_use) -= 1;
    this->note_load(now);
    return inherited;
}

void upstream_model::leave_queue()
{
    assert(this->waiting > 0);
    --this->waiting;
}

void upstream_model::finished()
{
    ++this->statistics.finished;
}

void upstream_model::cancelled()
{
    ++this->statistics.cancelled;
}

void upstream_model::expired()
{
    ++this->statistics.expired;
}

bool upstream_model::draw(std::uint32_t percent)
{
    std::uint32_t const lot =
        static_cast<std::uint32_t>(this->random() % whole);
    return lot < percent;
}

duration upstream_model::draw_work(instant now)
{
    double const sigma = this->behaviour.spread_percent / double{whole};
    // The mean of a log-normal is exp(mu + sigma^2 / 2); this mu makes it 1.
    std::lognormal_distribution<double> factor(-sigma * sigma / 2, sigma);
    double const drawn = sigma > 0 ? factor(this->random) : 1;
    duration work = std::chrono::duration_cast<duration>(
        this->behaviour.service_time * drawn);
    work = scaled(work, this->behaviour.slow_percent);
    bool const cold = now < this->started_at + this->behaviour.cold_start;
    return this->through_moments(
        cold ? scaled(work, this->behaviour.cold_percent) : work, now);
}

std::uint32_t upstream_model::run_time_percent(instant now) const
{
    duration const period = this->behaviour.moment_period;
    if (period <= duration::zero())
    {
        return whole;
    }
    std::uint64_t const moment =
        static_cast<std::uint64_t>((now - this->started_at) / period);
    policy::generator draw(this->seed ^ policy::generator(moment).next());
    return draw.below(whole) < this->behaviour.moment_share_percent
               ? this->behaviour.moment_percent
               : whole;
}

/// Time that the work takes from now on while the speed changes.
duration upstream_model::through_moments(duration work, instant now) const
{
    duration const period = this->behaviour.moment_period;
    if (period <= duration::zero())
    {
        return work;
    }
    instant at = now;
    while (true)
    {
        std::uint32_t const percent = this->run_time_percent(at);
        duration const left = period - (at - this->started_at) % period;
        duration const needed = scaled(work, percent);
        if (needed <= left)
        {
            return at + needed - now;
        }
        at += left;
        work -= left * whole / percent;
    }
}

std::string upstream_model::load_header(instant now) const
{
    std::string text;
    std::uint32_t const figures[] = {this->in_use, this->waiting,
                                     this->behaviour.slots,
                                     this->run_time_percent(now)};
    for (std::uint32_t index = 0; index < this->behaviour.load_figures; ++index)
    {
        text += fmt::format("{}{}", index == 0 ? "" : ",", figures[index]);
    }
    return text;
}

void upstream_model::note_load(instant now)
{
    this->samples.push_back(load_sample{now, this->in_use, this->waiting});
    instant const oldest = now - this->behaviour.load_lag;
    // The newest sample that is old enough is what a report shows.
    while (this->samples.size() > 1 && (this->samples[1].at <= oldest ||
                                        this->samples.size() > most_samples))
    {
        this->samples.pop_front();
    }
}

std::string upstream_model::load_report(instant now)
{
    this->note_load(now);
    load_sample const& shown = this->samples.front();
    std::uint32_t const in_use_shown =
        shown.in_use * this->behaviour.load_shown_percent / whole;
    return fmt::format(R"({{"slots_in_use":{},"slots":{},"waiting":{},)"
                       R"("leaving":{}}})",
                       in_use_shown, this->behaviour.slots, shown.waiting,
                       this->behaviour.leaving);
}

std::string upstream_model::request_report(instant now, wall_time wall) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    milliseconds const age =
        duration_cast<milliseconds>(now - this->last_arrival);
    upstream_statistics const& counted = this->statistics;
    bool const any = counted.arrived > 0;
    return fmt::format(
        R"({{"arrived":{},"started":{},"finished":{},"shed":{},)"
        R"("cancelled":{},"expired":{},"slots_in_use":{},"waiting":{},)"
        R"("present_peak":{},"connections":{},"connections_peak":{},)"
        R"("connections_refused":{},"last_arrival_age_ms":{},)"
        R"("last_arrival_unix_ms":{}}})",
        counted.arrived, counted.started, counted.finished, counted.shed,
        counted.cancelled, counted.expired, this->in_use, this->waiting,
        counted.present_peak, this->open_connections, counted.connections_peak,
        counted.connections_refused, any ? age.count() : -1,
        any ? (wall - age).time_since_epoch().count() : -1);
}

} // namespace bilberrylead::load
