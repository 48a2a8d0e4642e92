#include "bilberrylead/daemon/batch_times.hpp"

#include "bilberrylead/core/log_line.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::daemon
{

namespace
{

/// Half a heartbeat interval of the replicated log.
constexpr std::chrono::milliseconds logged_from{70};

} // namespace

void log_slow_batch(batch_times const& batch)
{
    if (batch.total() < logged_from)
    {
        return;
    }
    log_line("control", "slow_batch")
        .time("total_ms", batch.total())
        .number("events", static_cast<std::int64_t>(batch.events))
        .time("reduce_ms", batch.reduce)
        .number("messages", static_cast<std::int64_t>(batch.messages))
        .number("bytes", static_cast<std::int64_t>(batch.bytes))
        .time("send_ms", batch.send)
        .time("disk_ms", batch.disk)
        .time("other_ms", batch.other)
        .write();
}

void log_late_tick(duration late)
{
    if (late >= logged_from)
    {
        log_line("control", "late_tick").time("late_ms", late).write();
    }
}

} // namespace bilberrylead::daemon
