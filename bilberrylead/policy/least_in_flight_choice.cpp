#include "bilberrylead/policy/least_in_flight_choice.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

std::optional<std::size_t>
least_in_flight_choice::choose(upstream_set const& set, instant /*now*/,
                               generator& random) const
{
    std::optional<std::size_t> selected;
    std::uint32_t fewest = 0;
    std::uint32_t ties = 0;
    for (std::size_t index = 0; index < set.upstreams.size(); ++index)
    {
        upstream_view const& upstream = set.upstreams[index];
        if (!upstream.accepts_work())
        {
            continue;
        }
        if (selected.has_value() && upstream.in_flight > fewest)
        {
            continue;
        }
        // Ties are broken at random; otherwise all entry hosts would fill the
        // first upstream of the list first.
        bool const better =
            !selected.has_value() || upstream.in_flight < fewest;
        ties = better ? 1 : ties + 1;
        if (better || random.below(ties) == 0)
        {
            selected = index;
            fewest = upstream.in_flight;
        }
    }
    return selected;
}

} // namespace bilberrylead::policy
