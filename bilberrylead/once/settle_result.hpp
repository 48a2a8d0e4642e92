#ifndef BILBERRYLEAD_ONCE_SETTLE_RESULT_HPP
#define BILBERRYLEAD_ONCE_SETTLE_RESULT_HPP

namespace bilberrylead::once
{

/// What became of a complete, release or mark_unknown.
enum class settle_result
{
    /// It is in force.
    done,
    /// The record was settled before; the first settlement stays.
    already_settled,
    /// Another request holds the claim.
    not_holder,
    /// There is no such record, and none was made.
    no_record,
};

} // namespace bilberrylead::once

#endif
