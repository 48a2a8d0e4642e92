#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_TICK_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_TICK_HPP

namespace bilberrylead::agreement
{

/// Time has passed. Due every replica_settings::tick_interval or so.
struct tick
{
};

} // namespace bilberrylead::agreement

#endif
