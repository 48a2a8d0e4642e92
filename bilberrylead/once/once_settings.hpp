#ifndef BILBERRYLEAD_ONCE_ONCE_SETTINGS_HPP
#define BILBERRYLEAD_ONCE_ONCE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::once
{

/// Bounds of the run-at-most-once records. They are part of the replicated
/// state and must be equal on every replica; therefore they are constants of
/// the program and not read from a host's settings file.
struct once_settings
{
    /// How long an answer is kept for repeats, in log time; over 0. Callers
    /// that lost an answer repeat the request within minutes.
    duration retention = std::chrono::hours(2);
    /// How long after `retention` the key is kept, so that its work does not
    /// run again; over 0. A repeat after both periods would run; together they
    /// must be longer than any caller keeps resending.
    duration spent_retention = std::chrono::hours(24);
    /// How long a claim may stay open before its outcome becomes unknown;
    /// over 0. Far above the longest deadline of a guarded request, so that it
    /// only affects claims whose holder no longer exists.
    duration max_run_time = std::chrono::minutes(10);
    /// Maximum number of records. Bounds memory together with max_spent_keys
    /// and max_total_answer_bytes.
    std::size_t max_records = 250'000;
    /// Maximum number of records per caller, so that a caller that keeps
    /// sending new keys cannot exhaust the records for the others.
    std::size_t max_records_per_caller = 62'500;
    /// Maximum number of keys kept after their answer. Sustains 35 new keys
    /// per second, the same rate as max_records.
    std::size_t max_spent_keys = 3'000'000;
    /// Maximum total size of the recorded answers, bytes. Beyond it answers
    /// are recorded without their body.
    std::size_t max_total_answer_bytes = std::size_t{40} << 20U;
    /// Largest answer body that is recorded, bytes.
    std::size_t max_answer_body_bytes = std::size_t{16} << 10U;
    /// Longest accepted name or key, bytes.
    std::size_t max_name_bytes = 256;
    /// Maximum number of registered entry hosts.
    std::size_t max_hosts = 10'000;
    /// Largest step of the log time in one command. Limits how fast a leader
    /// that was suspended, or is faulty, can make records expire.
    duration max_time_step = std::chrono::seconds(10);

    friend bool operator==(once_settings const&,
                           once_settings const&) = default;
};

} // namespace bilberrylead::once

#endif
