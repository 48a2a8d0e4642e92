#include "bilberrylead/policy/region_shares.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace bilberrylead::policy
{

region_shares::region_shares(double max_change_per_second)
    : max_change_per_second(max_change_per_second)
{
}

void region_shares::set_target(std::vector<region_target> const& target,
                               instant now)
{
    assert(!target.empty());
    std::vector<double> new_target;
    std::vector<std::uint64_t> hashes;
    for (region_target const& item : target)
    {
        new_target.push_back(item.share);
        hashes.push_back(item.region_hash);
    }
    if (!this->has_assigned)
    {
        this->shares = new_target;
        this->updated_at = now;
    }
    this->shares.resize(new_target.size(), 0.0);
    this->deficits.resize(new_target.size(), 0.0);
    this->region_hashes = std::move(hashes);
    this->advance_shares(now);
    this->target_shares = std::move(new_target);
}

void region_shares::advance_shares(instant now)
{
    std::chrono::duration<double> const elapsed = now - this->updated_at;
    this->updated_at = now;
    if (this->target_shares.size() != this->shares.size())
    {
        return;
    }
    double total_decrease = 0;
    for (std::size_t region = 0; region < this->shares.size(); ++region)
    {
        total_decrease +=
            std::max(0.0, this->shares[region] - this->target_shares[region]);
    }
    if (total_decrease <= 0)
    {
        return;
    }
    double const step = std::min(1.0, this->max_change_per_second *
                                          elapsed.count() / total_decrease);
    for (std::size_t region = 0; region < this->shares.size(); ++region)
    {
        this->shares[region] +=
            step * (this->target_shares[region] - this->shares[region]);
    }
}

std::size_t region_shares::region_furthest_behind() const
{
    return static_cast<std::size_t>(
        std::max_element(this->deficits.begin(), this->deficits.end()) -
        this->deficits.begin());
}

std::size_t region_shares::region_of(std::uint64_t object) const
{
    // Weighted rendezvous hashing: each region draws an exponentially
    // distributed time at the rate of its share, the same on every host, and
    // the earliest region gets the object. A region that is too far ahead of
    // its share is skipped: the object goes to its next region, which soon has
    // it cached as well.
    std::optional<std::size_t> earliest_region;
    double earliest = std::numeric_limits<double>::infinity();
    for (std::size_t region = 0; region < this->shares.size(); ++region)
    {
        bool const is_ahead = this->deficits[region] - 1 < -max_lead;
        if (is_ahead || this->shares[region] <= 0)
        {
            continue;
        }
        double const uniform =
            generator(object ^ this->region_hashes[region]).unit();
        double const time = -std::log(1 - uniform) / this->shares[region];
        if (time < earliest)
        {
            earliest_region = region;
            earliest = time;
        }
    }
    // All regions with a share can be too far ahead while regions that have
    // just lost their share are still behind.
    return earliest_region.value_or(this->region_furthest_behind());
}

std::size_t region_shares::next_region(std::uint64_t object, instant now,
                                       generator& random)
{
    assert(!this->shares.empty());
    this->advance_shares(now);
    this->has_assigned = true;
    for (std::size_t region = 0; region < this->shares.size(); ++region)
    {
        this->deficits[region] += this->shares[region];
    }
    // A request without an object gets a random one. If it went to the region
    // that is furthest behind, every host would start with the same region.
    std::size_t const region =
        this->region_of(object == 0 ? random.next() : object);
    this->deficits[region] -= 1;
    return region;
}

} // namespace bilberrylead::policy
