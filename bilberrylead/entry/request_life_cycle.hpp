#ifndef BILBERRYLEAD_ENTRY_REQUEST_LIFE_CYCLE_HPP
#define BILBERRYLEAD_ENTRY_REQUEST_LIFE_CYCLE_HPP

#include "bilberrylead/entry/request_state.hpp"

#include <memory>

namespace bilberrylead::entry
{

/// State machine of a request. A transition that the current state does not
/// allow is a bug of the reducer and stops a debug build. No transition leads
/// from an answer that has begun back to another attempt.
class request_life_cycle
{
public:
    /// Starts in `pausing`.
    request_life_cycle();
    ~request_life_cycle();
    request_life_cycle(request_life_cycle&& other) noexcept;
    request_life_cycle& operator=(request_life_cycle&& other) noexcept;

    /// Current state.
    request_state current() const;

    /// The claim has been requested.
    void claim();
    /// The request needs a slot.
    void wait();
    /// The request pauses before its next step or is about to be refused.
    void pause();
    /// The request has been sent.
    void send();
    /// The answer is streamed to the caller.
    void stream();
    /// The answer is being collected.
    void collect();
    /// The collected answer is being recorded.
    void store();

private:
    class machine;
    std::unique_ptr<machine> state_machine;
};

} // namespace bilberrylead::entry

#endif
