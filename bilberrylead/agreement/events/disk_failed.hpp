#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_DISK_FAILED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_DISK_FAILED_HPP

namespace bilberrylead::agreement
{

/// A write or sync failed. From then on the replica does not reply, since it
/// could not make durable what a reply promises.
struct disk_failed
{
};

} // namespace bilberrylead::agreement

#endif
