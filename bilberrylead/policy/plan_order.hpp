#ifndef BILBERRYLEAD_POLICY_PLAN_ORDER_HPP
#define BILBERRYLEAD_POLICY_PLAN_ORDER_HPP

#include <cstdint>

namespace bilberrylead::policy
{

/// Which of the plans that reach an entry host are newer than the one it
/// follows. Guards against plans of a leader that was cut off and replaced,
/// and against plans that arrive late, twice, or by way of a control host that
/// was cut off.
class plan_order
{
public:
    /// Records a region plan of a leader's term. Returns false if a plan of a
    /// newer term has arrived before; the whole plan is then to be ignored.
    bool accept_term(std::uint64_t term)
    {
        if (term < this->newest_term)
        {
            return false;
        }
        if (term > this->newest_term)
        {
            this->newest_term = term;
            this->newest_number = 0;
        }
        return true;
    }

    /// Records an admission plan of the term accepted last. Returns false
    /// unless its number, from 1, is higher than all earlier ones of the term.
    bool accept_admission(std::uint64_t number)
    {
        if (number <= this->newest_number)
        {
            return false;
        }
        this->newest_number = number;
        return true;
    }

private:
    std::uint64_t newest_term = 0;
    std::uint64_t newest_number = 0;
};

} // namespace bilberrylead::policy

#endif
