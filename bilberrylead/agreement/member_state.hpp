#ifndef BILBERRYLEAD_AGREEMENT_MEMBER_STATE_HPP
#define BILBERRYLEAD_AGREEMENT_MEMBER_STATE_HPP

#include "bilberrylead/agreement/member.hpp"
#include "bilberrylead/core/time.hpp"

namespace bilberrylead::agreement
{

/// A member's condition as the leader sees it.
struct member_state
{
    /// The member, in the incarnation listed in the membership.
    agreement::member member;
    /// Time since its last reply, or since this leader first listed it if it
    /// has not replied yet. Zero for the leader itself.
    duration time_since_reply{};
    /// True if its log is nearly complete, so that it could vote at once.
    bool caught_up = false;
};

} // namespace bilberrylead::agreement

#endif
