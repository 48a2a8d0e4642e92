#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_TIMEOUT_NOW_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_TIMEOUT_NOW_HPP

namespace bilberrylead::agreement
{

/// The leader asks the receiver to start an election in the next term at once.
struct timeout_now
{
    friend bool operator==(timeout_now const&, timeout_now const&) = default;
};

} // namespace bilberrylead::agreement

#endif
