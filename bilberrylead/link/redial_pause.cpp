#include "bilberrylead/link/redial_pause.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::link
{

namespace
{

/// Part of the bound that a pause lasts at least.
constexpr double least_part = 0.5;

} // namespace

redial_pause::redial_pause(duration first_bound, duration last_bound,
                           std::uint64_t seed)
    : shortest(first_bound), longest(last_bound), bound(first_bound),
      draws(seed)
{
    assert(first_bound <= last_bound);
}

duration redial_pause::next()
{
    duration const pause =
        scaled(this->bound, least_part + (1 - least_part) * this->draws.unit());
    this->bound = std::min(this->bound * 2, this->longest);
    return pause;
}

void redial_pause::reset()
{
    this->bound = this->shortest;
}

} // namespace bilberrylead::link
