#ifndef BILBERRYLEAD_ONCE_SETTLE_RESULT_HPP
#define BILBERRYLEAD_ONCE_SETTLE_RESULT_HPP

namespace bilberrylead::once
{

/// Result of complete, release or mark_unknown.
enum class settle_result
{
    /// The command was applied.
    done,
    /// The record was settled before; the earlier result is kept.
    already_settled,
    /// Another request holds the claim.
    not_holder,
    /// No record exists for the key, and none was created.
    no_record,
};

} // namespace bilberrylead::once

#endif
