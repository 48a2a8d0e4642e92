#ifndef BILBERRYLEAD_TESTS_AGREEMENT_SCHEDULE_PROFILE_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_SCHEDULE_PROFILE_HPP

#include <cstddef>

namespace bilberrylead::agreement::tests
{

/// Frequencies of a schedule's actions. The first nine are percentages of the
/// steps and add up to 100.
struct schedule_profile
{
    /// Deliver a message.
    std::size_t deliver = 0;
    /// Execute some pending effects of a host.
    std::size_t carry_out = 0;
    /// Advance time.
    std::size_t advance_time = 0;
    /// Propose or read.
    std::size_t request = 0;
    /// Crash a host, or start one that is down.
    std::size_t crash = 0;
    /// Block links, or restore all of them.
    std::size_t partition = 0;
    /// Suspend or resume a process.
    std::size_t freeze = 0;
    /// Change the membership, or hand over leadership.
    std::size_t change_members = 0;
    /// Run without faults for a while.
    std::size_t no_faults = 0;
    /// Percentage of deliveries in which the receiver crashes while it executes
    /// the effects.
    std::size_t crash_during_effects = 0;
    /// Percentage of deliveries that take the oldest message.
    std::size_t oldest_first = 0;
    /// Percentage of requests that are reads.
    std::size_t reads = 0;
    /// Maximum time step, in milliseconds.
    std::size_t max_time_step_ms = 0;
    /// Maximum number of entries in a message.
    std::size_t max_append_entries = 0;
};

} // namespace bilberrylead::agreement::tests

#endif
