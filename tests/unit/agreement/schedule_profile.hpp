#ifndef BILBERRYLEAD_TESTS_AGREEMENT_SCHEDULE_PROFILE_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_SCHEDULE_PROFILE_HPP

#include <cstddef>

namespace bilberrylead::agreement::tests
{

/// How often a schedule does what; the first nine are parts of a hundred
/// steps and add up to that.
struct schedule_profile
{
    /// Deliver a message.
    std::size_t deliver = 0;
    /// Let a host carry out some of what is due.
    std::size_t carry_out = 0;
    /// Let time pass.
    std::size_t advance_time = 0;
    /// Propose or read.
    std::size_t request = 0;
    /// Kill a host, or start a dead one.
    std::size_t crash = 0;
    /// Cut hosts off, or heal.
    std::size_t partition = 0;
    /// Freeze or thaw a host.
    std::size_t freeze = 0;
    /// Change the membership, or hand over.
    std::size_t change_members = 0;
    /// Let everything run without a fault for a while.
    std::size_t no_faults = 0;
    /// In how many of a hundred deliveries the receiver crashes while it
    /// carries out the effects.
    std::size_t crash_during_effects = 0;
    /// How many of a hundred deliveries take the oldest message.
    std::size_t oldest_first = 0;
    /// How many of a hundred questions are reads.
    std::size_t reads = 0;
    /// Longest time that passes at once, in milliseconds.
    std::size_t max_time_step_ms = 0;
    /// Most entries in a message.
    std::size_t max_append_entries = 0;
};

} // namespace bilberrylead::agreement::tests

#endif
