#include "bilberrylead/policy/round_robin_choice.hpp"

namespace bilberrylead::policy
{

std::optional<std::size_t> round_robin_choice::choose(upstream_set const& set,
                                                      instant /*now*/,
                                                      generator& /*random*/)
{
    std::size_t const count = set.upstreams.size();
    for (std::size_t step = 1; step <= count; ++step)
    {
        std::size_t const index = (this->last + step) % count;
        if (set.upstreams[index].accepts_work())
        {
            this->last = index;
            return index;
        }
    }
    return std::nullopt;
}

} // namespace bilberrylead::policy
