#ifndef BILBERRYLEAD_CONTROL_HELD_ADMISSION_HPP
#define BILBERRYLEAD_CONTROL_HELD_ADMISSION_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/link/messages/admission_shares.hpp"

#include <cstdint>

namespace bilberrylead::control
{

/// The newest admission plan of a control host's region.
struct held_admission
{
    /// Term of the leader that computed it.
    std::uint64_t term = 0;
    /// The plan as it was received.
    link::admission_shares shares;
    /// Time of receipt.
    instant received_at{};

    /// Time since the leader computed it.
    duration age(instant now) const
    {
        return this->shares.age + (now - this->received_at);
    }
};

} // namespace bilberrylead::control

#endif
