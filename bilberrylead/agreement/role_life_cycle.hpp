#ifndef BILBERRYLEAD_AGREEMENT_ROLE_LIFE_CYCLE_HPP
#define BILBERRYLEAD_AGREEMENT_ROLE_LIFE_CYCLE_HPP

#include "bilberrylead/agreement/role.hpp"

#include <memory>

namespace bilberrylead::agreement
{

/// Which role may follow which. A step that the present role does not know
/// leaves it as it is.
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

    /// The role now.
    role current() const;

    /// The membership now counts this replica's vote.
    void join_voters();
    /// The membership no longer counts this replica's vote.
    void leave_voters();
    /// No leader was heard for too long.
    void start_pre_vote();
    /// A quorum would vote for it, or the leader hands over.
    void campaign();
    /// A quorum voted for it.
    void win();
    /// A leader or a later term showed itself, or the quorum is gone.
    void follow();
    /// The disk failed; there is no way back.
    void stop();

private:
    class machine;
    std::unique_ptr<machine> cycle;
};

} // namespace bilberrylead::agreement

#endif
