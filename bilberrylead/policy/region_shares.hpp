#ifndef BILBERRYLEAD_POLICY_REGION_SHARES_HPP
#define BILBERRYLEAD_POLICY_REGION_SHARES_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/region_target.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrylead::policy
{

class generator;

/// Where one entry host sends the requests of one service, by region, and
/// how fast that changes.
///
/// Load it answers: a plan that changes at once moves the callers of a
/// whole region onto upstreams that do not know their objects. The shares
/// follow the plan at a bounded pace, whoever made it: a new leader, or one
/// with an older picture, moves nothing faster.
class region_shares
{
public:
    /// Shares that move by at most `pace` a second, summed over the regions
    /// that lose; 0 to 1.
    explicit region_shares(double max_change_per_second);

    /// Sets what is to be reached: a share for each region, always in the
    /// same order here; they add up to 1. Taken over at once until the first
    /// request is sent; from then on a region that is new gets its share at
    /// the same pace as any other.
    void set_target(std::vector<region_target> const& target, instant now);

    /// The region of the next request, about an object (0: about none, so
    /// that `random` draws one).
    ///
    /// An object has its order of regions, the same on every entry host and
    /// after every restart, so that few upstreams have to know it; as a share
    /// moves, hardly any object moves but those that the region gains or
    /// loses. Over any few requests each region gets its share, so that
    /// chance does not move callers: a region that is ahead is passed over.
    std::size_t next_region(std::uint64_t object, instant now,
                            generator& random);

    /// The shares at work; empty before the first aim.
    std::vector<double> const& current() const
    {
        return this->shares;
    }

private:
    /// Requests that a region may be ahead of its share.
    static constexpr double max_lead = 1.5;

    void advance_shares(instant now);
    std::size_t region_furthest_behind() const;
    std::size_t region_of(std::uint64_t object) const;

    double max_change_per_second;
    bool has_assigned = false;
    std::vector<std::uint64_t> region_hashes;
    std::vector<double> shares;
    std::vector<double> target_shares;
    std::vector<double> deficits;
    instant updated_at{};
};

} // namespace bilberrylead::policy

#endif
