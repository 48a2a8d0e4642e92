#ifndef BILBERRYLEAD_LINK_MESSAGES_ADMISSION_SHARES_HPP
#define BILBERRYLEAD_LINK_MESSAGES_ADMISSION_SHARES_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/link/messages/admission_rows.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace bilberrylead::link
{

/// Largest age of a plan in a message. Plans are ignored much earlier.
inline constexpr std::chrono::seconds max_admission_age{60};

/// The leader's admission plan for the entry hosts of a region.
struct admission_shares
{
    /// Number of the plan within the leader's term, from 1. A lower one is
    /// ignored.
    std::uint64_t number = 0;
    /// Time since the leader computed it, up to when it was sent.
    duration age{};
    /// Admitted shares by service. A service that is not contained is not
    /// planned.
    std::vector<admission_rows> services;

    friend bool operator==(admission_shares const&,
                           admission_shares const&) = default;
};

} // namespace bilberrylead::link

#endif
