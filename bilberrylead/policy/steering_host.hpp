#ifndef BILBERRYLEAD_POLICY_STEERING_HOST_HPP
#define BILBERRYLEAD_POLICY_STEERING_HOST_HPP

#include <cstddef>
#include <cstdint>

namespace bilberrylead::policy
{

/// An entry host as steering sees it.
struct steering_host
{
    /// Its zone, by its place in the steering's list.
    std::size_t zone = 0;
    /// Its weight against the zone's other entry hosts; 0 takes no callers.
    std::uint32_t weight = 100;
    /// True if it is ready and not leaving.
    bool takes_callers = true;
};

} // namespace bilberrylead::policy

#endif
