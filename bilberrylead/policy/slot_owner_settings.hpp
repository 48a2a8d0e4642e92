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
    /// Who waits, how long, in what order.
    admission_queue_settings admission;
    /// Which slot is taken.
    slot_table_settings slots;
    /// How long a grant lasts after the last word from its host. Entry
    /// hosts are heard from with every ask and at least each second, so
    /// three seconds are two lost heartbeats.
    duration grant_lifetime = std::chrono::seconds(3);
    /// How much shorter the wait elsewhere must be, the way there and back
    /// included, before a request moves. A tenth of a service time: less
    /// than that is within the error of the estimate.
    duration move_margin = std::chrono::milliseconds(2);
    /// Longest wait at a distant zone (there and back takes longer than a
    /// request's service) that a request may move to. Two service times: in
    /// a burst that hits all zones a longer bound lets requests cross each
    /// other's way for nothing, a shorter one leaves room unused.
    duration max_distant_wait = std::chrono::milliseconds(40);
    /// Age at which another zone's load is no longer believed.
    duration load_lifetime = std::chrono::milliseconds(500);
    /// False keeps every request in its zone (for comparison).
    bool allow_moves = true;
};

} // namespace bilberrylead::policy

#endif
