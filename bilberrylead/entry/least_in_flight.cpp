#include "bilberrylead/entry/least_in_flight.hpp"

#include <tuple>

namespace bilberrylead::entry
{

static_assert(upstream_choice<least_in_flight>);

std::optional<std::size_t>
least_in_flight::choose(std::span<upstream_candidate const> candidates)
{
    std::optional<std::size_t> best;
    std::tuple<bool, std::uint32_t, bool> best_rank;
    std::size_t const first = this->turn++;
    for (std::size_t step = 0; step < candidates.size(); ++step)
    {
        std::size_t const place = (first + step) % candidates.size();
        upstream_candidate const& candidate = candidates[place];
        if (candidate.in_flight >= candidate.slots)
        {
            continue;
        }
        std::tuple<bool, std::uint32_t, bool> const rank{
            candidate.shunned, candidate.in_flight, !candidate.own_zone};
        if (!best.has_value() || rank < best_rank)
        {
            best = place;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace bilberrylead::entry
