#ifndef BILBERRYLEAD_ENTRY_REQUEST_LIFE_CYCLE_HPP
#define BILBERRYLEAD_ENTRY_REQUEST_LIFE_CYCLE_HPP

#include "bilberrylead/entry/request_state.hpp"

#include <memory>

namespace bilberrylead::entry
{

/// Which step of a request may follow which. A step that the present state
/// does not allow is a fault of the reducer and stops a debug build; the
/// table leaves no way from an answer that has begun back to another try.
class request_life_cycle
{
public:
    /// Starts as pausing.
    request_life_cycle();
    ~request_life_cycle();
    request_life_cycle(request_life_cycle&& other) noexcept;
    request_life_cycle& operator=(request_life_cycle&& other) noexcept;

    /// The state now.
    request_state current() const;

    /// Its claim was asked for.
    void claim();
    /// It needs a slot.
    void wait();
    /// It is held before its next step, or is about to be refused.
    void pause();
    /// It was sent.
    void send();
    /// Its answer streams to the caller.
    void stream();
    /// Its answer is being collected.
    void collect();
    /// Its collected answer is to be recorded.
    void store();

private:
    class machine;
    std::unique_ptr<machine> state_machine;
};

} // namespace bilberrylead::entry

#endif
