#include "bilberrylead/policy/random_choice.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

std::optional<std::size_t> random_choice::choose(upstream_set const& set,
                                                 instant /*now*/,
                                                 generator& random) const
{
    // Reservoir of one: the n-th candidate replaces the pick with
    // probability 1/n, so no list of candidates has to be built.
    std::optional<std::size_t> picked;
    std::uint32_t seen = 0;
    for (std::size_t index = 0; index < set.upstreams.size(); ++index)
    {
        if (!set.upstreams[index].accepts_work())
        {
            continue;
        }
        ++seen;
        if (random.below(seen) == 0)
        {
            picked = index;
        }
    }
    return picked;
}

} // namespace bilberrylead::policy
