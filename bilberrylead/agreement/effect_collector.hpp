#ifndef BILBERRYLEAD_AGREEMENT_EFFECT_COLLECTOR_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECT_COLLECTOR_HPP

#include "bilberrylead/agreement/effect.hpp"

#include <vector>

namespace bilberrylead::agreement
{

/// Puts the effects of one call in an order in which nothing is told that
/// is not durable: writes, then what may go beside the sync, the sync if
/// there was a write, then the rest in the order of adding.
class effect_collector
{
public:
    /// Adds a write. Entries that follow on those before are joined.
    void write(effect next);

    /// Adds a send that tells nothing about the sender's disk, so that the
    /// members' disks work side by side. With a new term or vote in the
    /// same call it waits for the sync like the rest.
    void send_before_sync(send next);

    /// Adds an effect that waits for the writes of this call.
    void add(effect next);

    /// Adds an effect ahead of all writes: only for switched-off
    /// safeguards.
    void add_before_writes(effect next);

    /// Hands out everything and starts afresh.
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
