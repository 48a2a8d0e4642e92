#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_TIMELINE_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_TIMELINE_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

namespace policy_bench
{

/// Events in order of time; those of one time in the order they were added,
/// so that a seed gives one result.
template <class Event>
class timeline
{
public:
    /// Adds an event.
    void add(bilberrylead::instant at, Event event)
    {
        this->events.push({at, this->added++, std::move(event)});
    }

    /// True if nothing is left to happen.
    bool empty() const
    {
        return this->events.empty();
    }

    /// Takes out the next event and sets the time to it.
    Event next()
    {
        entry const first = this->events.top();
        this->events.pop();
        this->time = first.at;
        return first.event;
    }

    /// The time of the event taken last.
    bilberrylead::instant now() const
    {
        return this->time;
    }

private:
    struct entry
    {
        bilberrylead::instant at;
        std::uint64_t order = 0;
        Event event;

        bool operator<(entry const& other) const
        {
            return other.at != this->at ? other.at < this->at
                                        : other.order < this->order;
        }
    };

    std::priority_queue<entry> events;
    std::uint64_t added = 0;
    bilberrylead::instant time;
};

} // namespace policy_bench

#endif
