#ifndef BILBERRYLEAD_ENTRY_REQUEST_STATE_HPP
#define BILBERRYLEAD_ENTRY_REQUEST_STATE_HPP

namespace bilberrylead::entry
{

/// State of a request.
enum class request_state
{
    /// Just arrived, or pausing before the next step.
    pausing,
    /// Waiting for the verdict on the claim.
    claiming,
    /// Waiting for a slot.
    waiting,
    /// Sent to an upstream; no answer yet.
    running,
    /// The upstream's answer is streamed to the caller.
    streaming,
    /// The upstream's answer is being collected for the record.
    collecting,
    /// The collected answer waits until its record is durable.
    storing,
};

} // namespace bilberrylead::entry

#endif
