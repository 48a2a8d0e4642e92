#ifndef BILBERRYLEAD_LINK_REDIAL_PAUSE_HPP
#define BILBERRYLEAD_LINK_REDIAL_PAUSE_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/generator.hpp"

#include <cstdint>

namespace bilberrylead::link
{

/// Pauses before a lost link is dialled again. Their bound doubles while the
/// peer stays away; each is drawn from the upper half of its bound.
///
/// Load it answers: hundreds of hosts lose their links to a peer at the same
/// moment and would dial it at the same moments until it is back.
class redial_pause
{
public:
    /// Pauses bounded by `shortest` at first and by `longest` in the end.
    redial_pause(duration shortest, duration longest, std::uint64_t seed);

    /// The pause before the next dial.
    duration next();

    /// The link was open again.
    void reset();

private:
    duration shortest;
    duration longest;
    duration bound;
    policy::generator draws;
};

} // namespace bilberrylead::link

#endif
