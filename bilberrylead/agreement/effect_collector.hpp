#ifndef BILBERRYLEAD_AGREEMENT_EFFECT_COLLECTOR_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECT_COLLECTOR_HPP

#include "bilberrylead/agreement/effect.hpp"

#include <vector>

namespace bilberrylead::agreement
{

/// Orders the effects of one call so that nothing is sent or reported before it
/// is durable: writes; sends that may overlap the sync; the sync, if there was
/// a write; then everything else in the order in which it was added.
class effect_collector
{
public:
    /// Adds a write. Entries that directly follow those of the previous write
    /// are merged into it.
    void write(effect next);

    /// Adds a send that reveals nothing about the sender's disk. It leaves
    /// before the sync, so that the disks of all members work in parallel. If
    /// this call also writes a new term or vote, the send waits for the sync.
    void send_before_sync(send next);

    /// Adds an effect that is executed after the writes of this call are
    /// synced.
    void add(effect next);

    /// Adds an effect that is executed before all writes; used only with a
    /// safeguard switched off.
    void add_before_writes(effect next);

    /// Returns the effects of the call in order and clears the collector.
    std::vector<effect> take_all();

private:
    bool merge_entries(effect& next);

    std::vector<effect> before_writes;
    std::vector<effect> writes;
    std::vector<effect> before_sync;
    std::vector<effect> after_sync;
    bool hard_state_written = false;
};

} // namespace bilberrylead::agreement

#endif
