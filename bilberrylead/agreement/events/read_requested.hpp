#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_READ_REQUESTED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_READ_REQUESTED_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Requests an up-to-date read of the state machine. Answered exactly once with
/// read_ready or read_refused.
struct read_requested
{
    /// Number chosen by the requester, unique among its pending requests.
    std::uint64_t token = 0;
};

} // namespace bilberrylead::agreement

#endif
