#ifndef BILBERRYLEAD_POLICY_RANK_SHARE_HPP
#define BILBERRYLEAD_POLICY_RANK_SHARE_HPP

#include <cstdint>

namespace bilberrylead::policy
{

/// Share of the requests of one rank that is admitted.
struct rank_share
{
    /// Effective rank of the requests; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Admitted share, 0 to 1.
    double share = 1;
};

} // namespace bilberrylead::policy

#endif
