#include "bilberrylead/policy/random_choice.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

std::optional<std::size_t> random_choice::choose(upstream_set const& set,
                                                 instant /*now*/,
                                                 generator& random) const
{
    // Reservoir sampling with a reservoir of one: the n-th candidate replaces
    // the selected one with probability 1/n, so that no list of candidates is
    // built.
    std::optional<std::size_t> selected;
    std::uint32_t candidate_count = 0;
    for (std::size_t index = 0; index < set.upstreams.size(); ++index)
    {
        if (!set.upstreams[index].accepts_work())
        {
            continue;
        }
        ++candidate_count;
        if (random.below(candidate_count) == 0)
        {
            selected = index;
        }
    }
    return selected;
}

} // namespace bilberrylead::policy
