#include "bilberrylead/policy/power_of_two_choice.hpp"

namespace bilberrylead::policy
{

std::optional<std::size_t> power_of_two_choice::choose(upstream_set const& set,
                                                       instant now,
                                                       generator& random) const
{
    std::optional<std::size_t> const first =
        this->random_pick.choose(set, now, random);
    std::optional<std::size_t> const second =
        this->random_pick.choose(set, now, random);
    if (!first.has_value())
    {
        return first;
    }
    bool const second_is_better =
        set.upstreams[*second].in_flight < set.upstreams[*first].in_flight;
    return second_is_better ? second : first;
}

} // namespace bilberrylead::policy
