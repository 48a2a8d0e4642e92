#ifndef BILBERRYLEAD_LINK_MESSAGES_CUSTOMER_USAGE_REPORT_HPP
#define BILBERRYLEAD_LINK_MESSAGES_CUSTOMER_USAGE_REPORT_HPP

#include "bilberrylead/policy/customer_report.hpp"

namespace bilberrylead::link
{

/// An entry host reports the requests of customers with limits to the leader,
/// which replies with customer_shares.
struct customer_usage_report
{
    policy::customer_report content;
};

} // namespace bilberrylead::link

#endif
