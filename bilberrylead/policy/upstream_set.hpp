#ifndef BILBERRYLEAD_POLICY_UPSTREAM_SET_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_SET_HPP

#include "bilberrylead/policy/upstream_view.hpp"

#include <vector>

namespace bilberrylead::policy
{

/// The upstreams of one service as known to one entry host, in the order of the
/// configuration. A load-balancing policy returns an index into it.
struct upstream_set
{
    /// All upstreams, including those that do not accept work now.
    std::vector<upstream_view> upstreams;
};

} // namespace bilberrylead::policy

#endif
