#ifndef BILBERRYLEAD_LINK_MESSAGES_CUSTOMER_SHARES_HPP
#define BILBERRYLEAD_LINK_MESSAGES_CUSTOMER_SHARES_HPP

#include "bilberrylead/policy/customer_allocation.hpp"

namespace bilberrylead::link
{

/// The leader tells an entry host which shares of the customers' limits it may
/// use.
struct customer_shares
{
    policy::customer_allocation content;
};

} // namespace bilberrylead::link

#endif
