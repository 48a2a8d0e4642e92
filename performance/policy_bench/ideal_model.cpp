#include "ideal_model.hpp"

#include <chrono>
#include <optional>
#include <variant>

namespace policy_bench
{

using namespace std::chrono_literals;
using namespace bilberrylead::policy;
using bilberrylead::duration;
using bilberrylead::config::work_length;

namespace
{

constexpr duration lookup_mean = 20ms;
/// 999 of 1,000 look-ups take less.
constexpr duration lookup_reserve = 267ms;
constexpr duration download_mean = 2s;

admission_queue_settings ideal_settings()
{
    admission_queue_settings settings;
    settings.queue.by_flow = false;
    return settings;
}

} // namespace

ideal_model::ideal_model(profile const& where, scenario const& what,
                         std::vector<arrival> const& arrivals)
    : where(where), what(what), arrivals(arrivals),
      result(arrivals, what.deadline), queue(ideal_settings()),
      upstream_of(arrivals.size())
{
    for (std::uint32_t const zone : where.upstream_zones())
    {
        static_cast<void>(zone);
        this->upstreams.emplace_back(where.machines[this->upstreams.size()],
                                     where.slots, what);
    }
}

summary ideal_model::run()
{
    this->events.add(this->arrivals.front().at, {false, 0});
    this->events.add(this->arrivals[this->arrivals.size() / 3].at,
                     {true, static_cast<std::uint32_t>(arrivals.size())});
    while (!this->events.empty())
    {
        event const next = this->events.next();
        if (next.request == this->arrivals.size())
        {
            for (upstream_model& upstream : this->upstreams)
            {
                upstream.restart();
            }
            continue;
        }
        if (next.ends)
        {
            this->upstreams[this->upstream_of[next.request]].finish();
            this->long_held -=
                this->arrivals[next.request].length == work_length::extended
                    ? 1
                    : 0;
            this->result.answered(next.request, this->events.now(), {});
        }
        else
        {
            this->arrive(next.request);
        }
        this->serve();
    }
    return this->result.summarize();
}

slot_pool ideal_model::pool() const
{
    slot_pool pool;
    pool.usable = static_cast<std::uint32_t>(capacity(where, what));
    std::uint32_t upstream = 0;
    pool.free = this->pick({}, upstream) ? 1 : 0;
    pool.long_held = this->long_held;
    pool.brief_time = lookup_mean;
    pool.brief_reserve = lookup_reserve;
    pool.long_time = download_mean;
    return pool;
}

bool ideal_model::pick(duration wait, std::uint32_t& upstream) const
{
    // The slow upstream (number 0) only when waiting takes longer.
    duration const loss(
        static_cast<std::int64_t>(static_cast<double>(lookup_mean.count()) *
                                  (this->what.slow_factor - 1)));
    for (std::uint32_t index = 1; index < this->upstreams.size(); ++index)
    {
        if (this->upstreams[index].held() < this->where.slots)
        {
            upstream = index;
            return true;
        }
    }
    upstream = 0;
    bool const free = this->upstreams[0].held() < this->where.slots;
    return free && (this->what.slow_factor <= 1 || wait > loss);
}

void ideal_model::arrive(std::uint32_t request)
{
    if (request + 1 < this->arrivals.size())
    {
        this->events.add(this->arrivals[request + 1].at, {false, request + 1});
    }
    arrival const& one = this->arrivals[request];
    waiting_request waiting;
    waiting.ticket = request;
    waiting.arrived = one.at;
    waiting.length = one.length;
    waiting.deadline =
        one.at + (one.length == work_length::brief ? this->what.deadline
                                                   : duration(60s));
    admission_verdict const verdict =
        this->queue.offer(waiting, this->pool(), one.at);
    if (std::holds_alternative<admit>(verdict))
    {
        this->start(request);
    }
    else if (std::holds_alternative<refuse>(verdict))
    {
        this->result.refused(request, one.at);
    }
}

void ideal_model::serve()
{
    while (this->queue.size() > 0)
    {
        slot_pool pool = this->pool();
        duration const wait =
            this->queue.expected_wait(0, pool, this->events.now());
        std::uint32_t upstream = 0;
        if (!this->pick(wait, upstream))
        {
            return;
        }
        pool.free = 1;
        std::optional<waiting_request> const next =
            this->queue.pop(pool, this->events.now());
        if (!next.has_value())
        {
            return;
        }
        this->start(static_cast<std::uint32_t>(next->ticket));
    }
}

void ideal_model::start(std::uint32_t request)
{
    std::uint32_t upstream = 0;
    constexpr duration any_wait = 1h;
    this->pick(any_wait, upstream);
    this->upstream_of[request] = upstream;
    this->upstreams[upstream].take(request);
    arrival const& one = this->arrivals[request];
    this->long_held += one.length == work_length::extended ? 1 : 0;
    this->events.add(this->events.now() +
                         this->upstreams[upstream].run_time(one.work),
                     {true, request});
}

} // namespace policy_bench
