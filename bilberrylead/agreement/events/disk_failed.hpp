#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_DISK_FAILED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_DISK_FAILED_HPP

namespace bilberrylead::agreement
{

/// A write or sync failed. The replica answers nothing from then on, since
/// it could not keep a promise it makes.
struct disk_failed
{
};

} // namespace bilberrylead::agreement

#endif
