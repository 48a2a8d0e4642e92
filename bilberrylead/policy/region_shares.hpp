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

/// Distributes the requests that one entry host receives for one service over
/// the regions, and bounds how fast the distribution changes.
///
/// Load it handles: a plan that takes effect at once would move the callers of
/// a whole region to upstreams that do not have their objects cached. The
/// shares follow the plan at a bounded rate, whatever its source: a new leader,
/// or a leader with outdated data, does not move them faster.
class region_shares
{
public:
    /// The shares change by at most `max_change_per_second` (0 to 1), summed
    /// over the regions whose shares decrease.
    explicit region_shares(double max_change_per_second);

    /// Sets the target shares: one for each region, which must keep its index
    /// between calls; they add up to 1. The target applies at once until the
    /// first request is assigned; after that, a new region also gains its share
    /// at the bounded rate.
    void set_target(std::vector<region_target> const& target, instant now);

    /// Returns the index of the region of the next request, which is about
    /// `object` (0: none, so that `random` draws one).
    ///
    /// An object ranks the regions in the same order on every entry host and
    /// after every restart, so that few upstreams need to cache it. When a
    /// share changes, hardly any objects move except those that the region
    /// gains or loses. Each region gets its share over any few requests, so
    /// that random variation does not move callers: a region that is ahead of
    /// its share is skipped.
    std::size_t next_region(std::uint64_t object, instant now,
                            generator& random);

    /// The shares in effect; empty before the first set_target().
    std::vector<double> const& current() const
    {
        return this->shares;
    }

private:
    /// Number of requests that a region may be ahead of its share.
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
