#ifndef BILBERRYLEAD_POLICY_SLOT_OWNER_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_SLOT_OWNER_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/admission_queue_settings.hpp"
#include "bilberrylead/policy/slot_table_settings.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of slot_owner.
struct slot_owner_settings
{
    /// Settings of the queue.
    admission_queue_settings admission;
    /// Settings of the choice of slots.
    slot_table_settings slots;
    /// How long a grant lasts after the last message from its host. A message
    /// arrives with every slot request and at least each second, so three
    /// seconds allow for two lost heartbeats.
    duration grant_lifetime = std::chrono::seconds(3);
    /// How much shorter the wait in another zone must be, including the round
    /// trip, before a request moves. A tenth of a service time: less is within
    /// the error of the estimate.
    duration move_margin = std::chrono::milliseconds(2);
    /// Maximum wait in a distant zone (one whose round trip is longer than a
    /// request's service time) that a request may move to. Two service times:
    /// in a burst that hits all zones, a longer bound swaps requests between
    /// zones without any gain, and a shorter one leaves capacity unused.
    duration max_distant_wait = std::chrono::milliseconds(40);
    /// Age at which the load report of another zone is no longer used.
    duration load_lifetime = std::chrono::milliseconds(500);
    /// False keeps every request in its zone (for comparison).
    bool allow_moves = true;
};

} // namespace bilberrylead::policy

#endif
