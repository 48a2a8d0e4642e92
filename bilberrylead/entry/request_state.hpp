#ifndef BILBERRYLEAD_ENTRY_REQUEST_STATE_HPP
#define BILBERRYLEAD_ENTRY_REQUEST_STATE_HPP

namespace bilberrylead::entry
{

/// Where a request is on its way.
enum class request_state
{
    /// Just here, or held for a moment before its next step.
    pausing,
    /// Waits for the verdict on its claim.
    claiming,
    /// Waits for a slot.
    waiting,
    /// Sent to an upstream, no answer yet.
    running,
    /// The upstream's answer streams to the caller.
    streaming,
    /// The upstream's answer is being collected for the record.
    collecting,
    /// The collected answer waits for its record to be durable.
    storing,
};

} // namespace bilberrylead::entry

#endif
