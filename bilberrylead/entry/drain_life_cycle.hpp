#ifndef BILBERRYLEAD_ENTRY_DRAIN_LIFE_CYCLE_HPP
#define BILBERRYLEAD_ENTRY_DRAIN_LIFE_CYCLE_HPP

#include "bilberrylead/entry/drain_state.hpp"

#include <memory>

namespace bilberrylead::entry
{

/// The steps of a planned stop, in their only order. A step that comes out
/// of order changes nothing: a drain that is asked for twice is one drain.
class drain_life_cycle
{
public:
    /// Starts as serving.
    drain_life_cycle();
    ~drain_life_cycle();
    drain_life_cycle(drain_life_cycle const&) = delete;
    drain_life_cycle& operator=(drain_life_cycle const&) = delete;

    /// The state now.
    drain_state current() const;

    /// The stop was asked for; true if it was not before.
    bool begin();
    /// The last steering answer that may name this host has expired; true if
    /// that is news.
    bool expire_answers();
    /// Nothing is under way; true if that ends the drain now.
    bool end();

private:
    class machine;
    std::unique_ptr<machine> state_machine;
};

} // namespace bilberrylead::entry

#endif
