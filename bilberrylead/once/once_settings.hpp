#ifndef BILBERRYLEAD_ONCE_ONCE_SETTINGS_HPP
#define BILBERRYLEAD_ONCE_ONCE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::once
{

/// Bounds of the run-at-most-once records. Part of the replicated state:
/// every replica must use the same values, so they are constants of the
/// program and never read from a host's settings file.
struct once_settings
{
    /// How long an answer is kept for repeats, in time of the log, over 0.
    /// Callers that lost an answer ask again within minutes.
    duration retention = std::chrono::hours(2);
    /// How long after that its key is still known and its work is never run
    /// again; over 0. A repeat after both would run: they have to be longer
    /// than any caller goes on resending.
    duration spent_retention = std::chrono::hours(24);
    /// How long a claim may stay open before its outcome counts as
    /// unknown, over 0; far above the longest deadline of a guarded
    /// request, so that it only catches holders that are gone.
    duration max_run_time = std::chrono::minutes(10);
    /// Records kept at most; with the two totals below it bounds memory.
    std::size_t max_records = 250'000;
    /// Records one caller may hold, so that a caller that sends new keys
    /// without end cannot shut out the others.
    std::size_t max_records_per_caller = 62'500;
    /// Keys kept at most beyond their answer. As many a second as records:
    /// 35 sustained, each.
    std::size_t max_spent_keys = 3'000'000;
    /// Bytes of answers kept at most. When they are used up, answers are
    /// kept without their body.
    std::size_t max_total_answer_bytes = std::size_t{40} << 20U;
    /// Largest body of an answer that is kept, bytes.
    std::size_t max_answer_body_bytes = std::size_t{16} << 10U;
    /// Longest name or key that is taken, bytes.
    std::size_t max_name_bytes = 256;
    /// Entry hosts known at most.
    std::size_t max_hosts = 10'000;
    /// Largest step of the log's time in one command. A leader that was
    /// frozen, or lies, cannot make records expire faster than this.
    duration max_time_step = std::chrono::seconds(10);

    friend bool operator==(once_settings const&,
                           once_settings const&) = default;
};

} // namespace bilberrylead::once

#endif
