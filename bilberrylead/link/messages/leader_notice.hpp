#ifndef BILBERRYLEAD_LINK_MESSAGES_LEADER_NOTICE_HPP
#define BILBERRYLEAD_LINK_MESSAGES_LEADER_NOTICE_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::link
{

/// A control host tells its entry hosts who leads, as far as it knows:
/// sent on every link when it changes, and in place of an answer.
struct leader_notice
{
    /// Who leads; empty if it knows of nobody.
    host_id leader;
    /// Number of the request that was not taken, 0 if it answers none.
    std::uint64_t refused_number = 0;
};

} // namespace bilberrylead::link

#endif
