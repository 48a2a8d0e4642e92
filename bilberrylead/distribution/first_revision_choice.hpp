#ifndef BILBERRYLEAD_DISTRIBUTION_FIRST_REVISION_CHOICE_HPP
#define BILBERRYLEAD_DISTRIBUTION_FIRST_REVISION_CHOICE_HPP

#include "bilberrylead/core/time.hpp"

#include <cstddef>

namespace bilberrylead::distribution
{

/// Why a starting process waits for no further answers.
enum class first_revision_basis
{
    /// A control host that named a leader has answered.
    leader,
    /// A majority of the control hosts has answered.
    majority,
    /// The wait is over.
    timeout,
};

/// How a starting process has chosen its first revision.
struct first_revision_choice
{
    /// Why it waited for no further answers.
    first_revision_basis basis = first_revision_basis::timeout;
    /// Control hosts that had answered.
    std::size_t answers = 0;
    /// Control hosts of the group; 0 if unknown.
    std::size_t control_hosts = 0;
    /// Time since the first answer, of control or entry hosts.
    duration waited{};
};

} // namespace bilberrylead::distribution

#endif
