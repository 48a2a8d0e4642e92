#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_DROP_LOG_PREFIX_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_DROP_LOG_PREFIX_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// The log up to and including this index may be deleted, at any later time: a
/// durable snapshot replaces it.
struct drop_log_prefix
{
    /// Last index that may be deleted.
    std::uint64_t through_index = 0;
};

} // namespace bilberrylead::agreement

#endif
