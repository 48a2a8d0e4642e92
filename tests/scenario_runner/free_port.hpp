#ifndef BILBERRYLEAD_SCENARIO_RUNNER_FREE_PORT_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_FREE_PORT_HPP

#include <cstdint>

namespace bilberrylead::scenario
{

/// A TCP port on loopback that was free a moment ago and that is not given
/// out again by this process. It lies below the range from which the
/// operating system takes ports for outgoing connections, so that none of
/// those takes it before its process listens.
std::uint16_t free_port();

} // namespace bilberrylead::scenario

#endif
