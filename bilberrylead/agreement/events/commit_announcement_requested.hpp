#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_COMMIT_ANNOUNCEMENT_REQUESTED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_COMMIT_ANNOUNCEMENT_REQUESTED_HPP

namespace bilberrylead::agreement
{

/// Asks a leader to send its commit index to the members at once and not with
/// the next entries or heartbeat. Ignored by other roles.
struct commit_announcement_requested
{
};

} // namespace bilberrylead::agreement

#endif
