#ifndef BILBERRYLEAD_ENTRY_DRAIN_LIFE_CYCLE_HPP
#define BILBERRYLEAD_ENTRY_DRAIN_LIFE_CYCLE_HPP

#include "bilberrylead/entry/drain_state.hpp"

#include <memory>

namespace bilberrylead::entry
{

/// State machine of a drain. A transition that the current state does not allow
/// is ignored, so a repeated drain request has no effect.
class drain_life_cycle
{
public:
    /// Starts in `serving`.
    drain_life_cycle();
    ~drain_life_cycle();
    drain_life_cycle(drain_life_cycle const&) = delete;
    drain_life_cycle& operator=(drain_life_cycle const&) = delete;

    /// Current state.
    drain_state current() const;

    /// Begins the drain. Returns true if it had not begun before.
    bool begin();
    /// Records that the last steering answer that may name this host has
    /// expired. Returns true if this changed the state.
    bool expire_answers();
    /// Records that no request is in progress. Returns true if this ended the
    /// drain.
    bool end();

private:
    class machine;
    std::unique_ptr<machine> state_machine;
};

} // namespace bilberrylead::entry

#endif
