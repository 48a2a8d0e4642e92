#ifndef BILBERRYLEAD_AGREEMENT_MEMBER_HPP
#define BILBERRYLEAD_AGREEMENT_MEMBER_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// One host of the group, in one incarnation of its data folder.
struct member
{
    /// The host.
    host_id host;
    /// Identifies the data folder: a host that lost its disk restarts with a
    /// greater number. 0 means "not yet known" and never votes.
    std::uint64_t incarnation = 0;
    /// True if its vote and its copy of the log count towards a quorum.
    bool voter = false;
    /// True for a learner that the leader promotes to voter once it has caught
    /// up.
    bool voter_when_caught_up = false;

    friend bool operator==(member const&, member const&) = default;
};

} // namespace bilberrylead::agreement

#endif
