#ifndef BILBERRYLEAD_AGREEMENT_ROLE_LIFE_CYCLE_HPP
#define BILBERRYLEAD_AGREEMENT_ROLE_LIFE_CYCLE_HPP

#include "bilberrylead/agreement/role.hpp"

#include <memory>

namespace bilberrylead::agreement
{

/// State machine of the role. An event with no transition from the current role
/// is ignored.
class role_life_cycle
{
public:
    /// Starts as a learner.
    role_life_cycle();
    ~role_life_cycle();
    role_life_cycle(role_life_cycle const&) = delete;
    role_life_cycle& operator=(role_life_cycle const&) = delete;
    role_life_cycle(role_life_cycle&&) = delete;
    role_life_cycle& operator=(role_life_cycle&&) = delete;

    /// The current role.
    role current() const;

    /// The membership in force lists this replica as a voter.
    void join_voters();
    /// The membership in force no longer lists this replica as a voter.
    void leave_voters();
    /// The election timer expired without contact with a leader.
    void start_pre_vote();
    /// A quorum granted pre-votes, or the leader requested the election.
    void campaign();
    /// A quorum granted votes.
    void win();
    /// There is another leader or a later term, or the quorum is lost.
    void follow();
    /// The disk failed; this role is final.
    void stop();

private:
    class machine;
    std::unique_ptr<machine> cycle;
};

} // namespace bilberrylead::agreement

#endif
