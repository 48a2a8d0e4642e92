#ifndef BILBERRYLEAD_AGREEMENT_MEMBER_HPP
#define BILBERRYLEAD_AGREEMENT_MEMBER_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// One host of the group, as one life of its data folder.
struct member
{
    /// The machine.
    host_id host;
    /// Which data folder it is: a host that lost its disk comes back under
    /// a greater number. 0 stands for "not known yet" and never votes.
    std::uint64_t incarnation = 0;
    /// True if its vote and its copy count towards a quorum.
    bool voter = false;
    /// True for a learner that the leader makes a voter once it caught up.
    bool voter_when_caught_up = false;

    friend bool operator==(member const&, member const&) = default;
};

} // namespace bilberrylead::agreement

#endif
