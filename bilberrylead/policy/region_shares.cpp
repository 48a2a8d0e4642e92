#include "bilberrylead/policy/region_shares.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace bilberrylead::policy
{

region_shares::region_shares(double most_pace) : pace(most_pace)
{
}

void region_shares::aim(std::vector<double> target, instant now)
{
    assert(!target.empty());
    if (this->shares.size() != target.size())
    {
        this->shares = target;
        this->owed.assign(target.size(), 0.0);
        this->followed_at = now;
    }
    this->follow(now);
    this->wanted = std::move(target);
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

std::size_t region_shares::region_of(std::uint64_t object) const
{
    // As a share moves, only the objects at its edge move with it.
    double place = generator(object).unit();
    for (std::size_t region = 0; region < this->shares.size(); ++region)
    {
        if (place < this->shares[region])
        {
            return region;
        }
        place -= this->shares[region];
    }
    return static_cast<std::size_t>(
        std::max_element(this->shares.begin(), this->shares.end()) -
        this->shares.begin());
}

std::size_t region_shares::next(std::uint64_t object, instant now)
{
    assert(!this->shares.empty());
    this->follow(now);
    for (std::size_t region = 0; region < this->shares.size(); ++region)
    {
        this->owed[region] += this->shares[region];
    }
    std::size_t const furthest = static_cast<std::size_t>(
        std::max_element(this->owed.begin(), this->owed.end()) -
        this->owed.begin());
    std::size_t const own = object == 0 ? furthest : this->region_of(object);
    bool const fair =
        this->owed[furthest] <= most_owed && this->owed[own] - 1 >= -most_owed;
    std::size_t const chosen = fair ? own : furthest;
    this->owed[chosen] -= 1;
    return chosen;
}

} // namespace bilberrylead::policy
