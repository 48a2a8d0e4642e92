#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_SYNC_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_SYNC_HPP

namespace bilberrylead::agreement
{

/// Everything written by earlier effects is made durable (file and folder)
/// before any later effect, also of later calls, is carried out. If it
/// fails, drop the later ones and report disk_failed.
struct sync
{
};

} // namespace bilberrylead::agreement

#endif
