#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_DROP_LOG_PREFIX_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_DROP_LOG_PREFIX_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// The log up to and including this index may be deleted, at leisure: a
/// durable snapshot stands for it.
struct drop_log_prefix
{
    /// Last index that may go.
    std::uint64_t through_index = 0;
};

} // namespace bilberrylead::agreement

#endif
