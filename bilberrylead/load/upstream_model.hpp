#ifndef BILBERRYLEAD_LOAD_UPSTREAM_MODEL_HPP
#define BILBERRYLEAD_LOAD_UPSTREAM_MODEL_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/load/run_counts.hpp"
#include "bilberrylead/load/stand_in_behaviour.hpp"

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <string_view>

namespace bilberrylead::load
{

/// What an upstream does with a request that arrives.
enum class arrival
{
    /// A slot is free and is now the request's.
    run,
    /// It waits for a slot.
    wait,
    /// It is turned away and never runs.
    shed,
};

/// What happens to one request once it has a slot.
struct work_lot
{
    /// How long the slot is held.
    duration work{};
    /// How long the answer is held back after that.
    duration late{};
    /// It gets an earlier request's answer.
    bool swapped = false;
    /// It gets its answer twice.
    bool duplicated = false;
    /// Its answer ends in the middle.
    bool cut = false;
    /// It gets no answer.
    bool dropped = false;
};

/// What one stand-in upstream counted since its start.
struct upstream_statistics
{
    /// Requests that arrived, admin and health aside.
    std::uint64_t arrived = 0;
    /// Requests that got a slot.
    std::uint64_t started = 0;
    /// Requests whose work ended by itself.
    std::uint64_t finished = 0;
    /// Requests that were turned away.
    std::uint64_t shed = 0;
    /// Requests whose caller went away, waiting or running.
    std::uint64_t cancelled = 0;
    /// Requests whose deadline passed, waiting or running.
    std::uint64_t expired = 0;
    /// Connections beyond the limit.
    std::uint64_t connections_refused = 0;
    /// Most connections open at a time.
    std::uint32_t connections_peak = 0;
    /// Most requests present at a time, running and waiting.
    std::uint32_t present_peak = 0;
};

/// The state of one stand-in upstream, without any I/O: slots, who waits,
/// lots, counts. Time is passed in; the generator is its own.
class upstream_model
{
public:
    /// Starts cold at `now`.
    upstream_model(stand_in_behaviour const& initial, std::uint64_t seed,
                   instant now);

    /// How it behaves from now on; change it at any time.
    stand_in_behaviour behaviour;

    /// Counts a connection; false: it is beyond the limit, close it.
    bool connection_opened();
    /// Forgets a connection that connection_opened took.
    void connection_closed();

    /// Decides on a request that arrives. After `wait`, the caller keeps
    /// the order of those who wait and calls `start` or `leave_queue`.
    arrival arrive(instant now);
    /// Counts the run of a request that has a slot and draws its lot.
    work_lot start(std::string_view request, std::string_view key, instant now);
    /// Gives a slot back. True: it went to the first who waits, who calls
    /// `start` next.
    bool release(instant now);
    /// Somebody who waits gives up.
    void leave_queue();

    /// Counts work that ended by itself.
    void finished();
    /// Counts a caller that went away.
    void cancelled();
    /// Counts a deadline that passed.
    void expired();

    /// Time that work takes at that moment against usual, in percent.
    std::uint32_t run_time_percent(instant now) const;
    /// Value of the load header; empty if it sends none.
    std::string load_header(instant now) const;
    /// The load endpoint's JSON, as late and as wrong as it is told to be.
    std::string load_report(instant now);
    /// The statistics endpoint's JSON; `wall` is now by the wall clock.
    std::string request_report(instant now, wall_time wall) const;

    /// What ran.
    run_counts runs;

private:
    struct load_sample
    {
        instant at;
        std::uint32_t in_use = 0;
        std::uint32_t waiting = 0;
    };

    bool draw(std::uint32_t percent);
    duration draw_work(instant now);
    duration through_moments(duration work, instant now) const;
    void note_load(instant now);

    std::uint64_t seed;
    std::mt19937_64 random;
    instant started_at;
    instant last_arrival;
    std::uint32_t in_use = 0;
    std::uint32_t waiting = 0;
    std::uint32_t open_connections = 0;
    upstream_statistics statistics;
    std::deque<load_sample> samples;
};

} // namespace bilberrylead::load

#endif
