#ifndef BILBERRYLEAD_ENTRY_DRAIN_STATE_HPP
#define BILBERRYLEAD_ENTRY_DRAIN_STATE_HPP

namespace bilberrylead::entry
{

/// Progress of a planned stop of this entry host.
enum class drain_state
{
    /// No drain has been requested.
    serving,
    /// New steering answers no longer name this host; callers may still hold
    /// earlier ones.
    withdrawing,
    /// No valid steering answer names this host; requests in progress are
    /// finished.
    finishing,
    /// No request is in progress.
    ended,
};

} // namespace bilberrylead::entry

#endif
