#ifndef BILBERRYLEAD_DAEMON_BATCH_TIMES_HPP
#define BILBERRYLEAD_DAEMON_BATCH_TIMES_HPP

#include "bilberrylead/core/time.hpp"

#include <cstddef>

namespace bilberrylead::daemon
{

/// What a control host spent its time on while it handled one batch of events.
/// Until the batch is done, nothing else is read or sent.
struct batch_times
{
    /// Number of events.
    std::size_t events = 0;
    /// Time in which the reducer handled them.
    duration reduce{};
    /// Number of messages sent.
    std::size_t messages = 0;
    /// Encoded size of these messages, bytes.
    std::size_t bytes = 0;
    /// Time in which they were encoded and queued.
    duration send{};
    /// Time in which the disk was written and synced.
    duration disk{};
    /// Time in which the other effects were carried out.
    duration other{};

    /// Time of the whole batch.
    duration total() const
    {
        return this->reduce + this->send + this->disk + this->other;
    }
};

/// Logs a batch that took long enough to delay heartbeats.
void log_slow_batch(batch_times const& batch);

/// Logs a timer that fired late, since the process was busy or not scheduled.
void log_late_tick(duration late);

} // namespace bilberrylead::daemon

#endif
