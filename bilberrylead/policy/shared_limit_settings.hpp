#ifndef BILBERRYLEAD_POLICY_SHARED_LIMIT_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_SHARED_LIMIT_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/access_probability_settings.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of shared_limit.
struct shared_limit_settings
{
    /// Time after which a limit that no answer has confirmed expires.
    duration lifetime = std::chrono::minutes(5);
    /// Requests a second that are sent whatever the limit. Without any
    /// request, no host would receive the end of the limit.
    double min_rate = 0.2;
    /// Maximum number of tokens saved beyond one; never more than one second
    /// of the limit, but at least `min_saved`.
    double max_saved = 2;
    /// Tokens saved beyond one at any limit; without them a limit under one
    /// request a second is hardly used.
    double min_saved = 1;
    /// Maximum token debt, in seconds of the limit. Requests sent before the
    /// hosts received the limit are not compensated for beyond that.
    double max_debt_seconds = 4;
    /// Part of the limit that the hosts use together while it is divided among
    /// them. The rest covers the chance that several send at the same time.
    double divided_part = 2.0 / 3;
    /// How the hosts share the tokens while they are in contact.
    access_probability_settings access;
    /// Time added to that over which the demand was observed when a limit is
    /// first applied. A host that has just started underestimates its share.
    duration min_observation = std::chrono::seconds(10);
    /// Length of the time slots for each of which a host draws anew whether it
    /// uses the tokens.
    duration slot = std::chrono::milliseconds(100);
    /// Overdraft from which on reports are taken to be late: the larger one of
    /// these tokens and the tokens of this time.
    double late_overdraft = 1.5;
    duration late_overdraft_time = std::chrono::milliseconds(300);
    /// Time without a report of another host after which reports are taken to
    /// be lost: this, and the time of `silent_requests` requests at the limit.
    duration silence = std::chrono::seconds(1);
    double silent_requests = 4;
};

} // namespace bilberrylead::policy

#endif
