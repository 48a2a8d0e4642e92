#ifndef BILBERRYLEAD_POLICY_UPSTREAM_SET_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_SET_HPP

#include "bilberrylead/policy/upstream_view.hpp"

#include <vector>

namespace bilberrylead::policy
{

/// The upstreams of one service as one entry host sees them, in the order
/// of the configuration. An index into it is what a choice returns.
struct upstream_set
{
    /// All of them, those included that take no work now.
    std::vector<upstream_view> upstreams;
};

} // namespace bilberrylead::policy

#endif
