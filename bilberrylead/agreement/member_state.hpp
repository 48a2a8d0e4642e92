#ifndef BILBERRYLEAD_AGREEMENT_MEMBER_STATE_HPP
#define BILBERRYLEAD_AGREEMENT_MEMBER_STATE_HPP

#include "bilberrylead/agreement/member.hpp"
#include "bilberrylead/core/time.hpp"

namespace bilberrylead::agreement
{

/// How a member does, as the leader sees it.
struct member_state
{
    /// The member, in the incarnation that counts.
    agreement::member member;
    /// Time since its last answer, or since this leader took office if it
    /// has not answered yet. Zero for the leader itself.
    duration time_since_reply{};
    /// True if it holds nearly the whole log, so that it could vote at once.
    bool caught_up = false;
};

} // namespace bilberrylead::agreement

#endif
