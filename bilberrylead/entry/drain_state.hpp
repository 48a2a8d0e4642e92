#ifndef BILBERRYLEAD_ENTRY_DRAIN_STATE_HPP
#define BILBERRYLEAD_ENTRY_DRAIN_STATE_HPP

namespace bilberrylead::entry
{

/// How far a planned stop of this entry host is.
enum class drain_state
{
    /// No stop is wanted.
    serving,
    /// Out of new steering answers; callers may still hold old ones.
    withdrawing,
    /// No steering answer names this host; work goes on to its end.
    finishing,
    /// Nothing is under way.
    ended,
};

} // namespace bilberrylead::entry

#endif
