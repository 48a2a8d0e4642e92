#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_TICK_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_TICK_HPP

namespace bilberrylead::agreement
{

/// Periodic timer event, due about every replica_settings::tick_interval.
struct tick
{
};

} // namespace bilberrylead::agreement

#endif
