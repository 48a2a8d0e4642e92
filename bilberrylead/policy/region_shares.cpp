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

region_shares::region_shares(double most_pace) : pace(most_pace)
{
}

void region_shares::aim(std::vector<region_target> const& target, instant now)
{
    assert(!target.empty());
    std::vector<double> reached;
    std::vector<std::uint64_t> named;
    for (region_target const& each : target)
    {
        reached.push_back(each.share);
        named.push_back(each.region);
    }
    if (!this->has_sent)
    {
        this->shares = reached;
        this->followed_at = now;
    }
    this->shares.resize(reached.size(), 0.0);
    this->owed.resize(reached.size(), 0.0);
    this->regions = std::move(named);
    this->follow(now);
    this->wanted = std::move(reached);
}

void region_shares::follow(instant now)
{
    std::chrono::duration<double> const passed = now - this->followed_at;
    this->followed_at = now;
    if (this->wanted.size() != this->shares.size())
    {
        return;
    }
    double gap = 0;
    for (std::size_t region = 0; region < this->shares.size(); ++region)
    {
        gap += std::max(0.0, this->shares[region] - this->wanted[region]);
    }
    if (gap <= 0)
    {
        return;
    }
    double const step = std::min(1.0, this->pace * passed.count() / gap);
    for (std::size_t region = 0; region < this->shares.size(); ++region)
    {
        this->shares[region] +=
            step * (this->wanted[region] - this->shares[region]);
    }
}

std::size_t region_shares::furthest_behind() const
{
    return static_cast<std::size_t>(
        std::max_element(this->owed.begin(), this->owed.end()) -
        this->owed.begin());
}

std::size_t region_shares::region_of(std::uint64_t object) const
{
    // Weighted rendezvous hashing: each region draws a time at the rate of
    // its share, the same on every host; the earliest has the object. A
    // region that is ahead is passed over: the object goes to its next one,
    // which soon knows it as well.
    std::optional<std::size_t> best;
    double earliest = std::numeric_limits<double>::infinity();
    for (std::size_t region = 0; region < this->shares.size(); ++region)
    {
        bool const is_ahead = this->owed[region] - 1 < -most_owed;
        if (is_ahead || this->shares[region] <= 0)
        {
            continue;
        }
        double const drawn = generator(object ^ this->regions[region]).unit();
        double const time = -std::log(1 - drawn) / this->shares[region];
        if (time < earliest)
        {
            best = region;
            earliest = time;
        }
    }
    // All that have a share are ahead while others, which just lost theirs,
    // are still behind.
    return best.value_or(this->furthest_behind());
}

std::size_t region_shares::next(std::uint64_t object, instant now,
                                generator& random)
{
    assert(!this->shares.empty());
    this->follow(now);
    this->has_sent = true;
    for (std::size_t region = 0; region < this->shares.size(); ++region)
    {
        this->owed[region] += this->shares[region];
    }
    // Without an object the region that is furthest behind would begin
    // alike on every host.
    std::size_t const chosen =
        this->region_of(object == 0 ? random.next() : object);
    this->owed[chosen] -= 1;
    return chosen;
}

} // namespace bilberrylead::policy
