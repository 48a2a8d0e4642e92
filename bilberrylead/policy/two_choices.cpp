#include "bilberrylead/policy/two_choices.hpp"

namespace bilberrylead::policy
{

std::optional<std::size_t> two_choices::choose(upstream_set const& set,
                                               instant now,
                                               generator& random) const
{
    std::optional<std::size_t> const first = this->any.choose(set, now, random);
    std::optional<std::size_t> const second =
        this->any.choose(set, now, random);
    if (!first.has_value())
    {
        return first;
    }
    bool const second_is_better =
        set.upstreams[*second].in_flight < set.upstreams[*first].in_flight;
    return second_is_better ? second : first;
}

} // namespace bilberrylead::policy
