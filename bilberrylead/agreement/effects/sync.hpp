#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_SYNC_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_SYNC_HPP

namespace bilberrylead::agreement
{

/// Make everything written by earlier effects durable (file and folder) before
/// any later effect, including those of later calls, is executed. If the sync
/// fails, discard the later effects and report disk_failed.
struct sync
{
};

} // namespace bilberrylead::agreement

#endif
