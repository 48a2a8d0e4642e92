#include "bilberrylead/policy/least_completion_choice.hpp"

#include <algorithm>
#include <cstdint>

namespace bilberrylead::policy
{

duration least_completion_choice::expected_completion(
    upstream_view const& upstream) const
{
    // The weight of a load report falls linearly to 0 over its lifetime.
    std::int64_t const lifetime = this->settings.report_lifetime.count();
    std::int64_t const age =
        std::clamp(upstream.report_age.count(), std::int64_t{0}, lifetime);
    double const report_weight =
        1.0 - static_cast<double>(age) / static_cast<double>(lifetime);
    double const held = static_cast<double>(upstream.in_flight) +
                        report_weight * upstream.in_use_by_others;

    // Requests in excess of the slots wait; all slots together work through the
    // excess.
    double const excess = std::max(0.0, held + 1.0 - upstream.usable_slots);
    double const wait_in_service_times = excess / upstream.usable_slots;
    duration const service(static_cast<std::int64_t>(
        static_cast<double>(upstream.service_time.count()) *
        (1.0 + wait_in_service_times)));

    duration completion = 2 * upstream.one_way_latency + service;
    if (upstream.condition == upstream_condition::suspected)
    {
        completion += this->settings.suspicion_penalty;
    }
    return completion;
}

std::optional<std::size_t>
least_completion_choice::choose(upstream_set const& set, instant /*now*/,
                                generator& random) const
{
    std::optional<std::size_t> selected;
    duration shortest{};
    std::uint32_t ties = 0;
    for (std::size_t index = 0; index < set.upstreams.size(); ++index)
    {
        upstream_view const& upstream = set.upstreams[index];
        if (!upstream.accepts_work())
        {
            continue;
        }
        duration const completion = this->expected_completion(upstream);
        if (selected.has_value() && completion > shortest)
        {
            continue;
        }
        bool const better = !selected.has_value() || completion < shortest;
        ties = better ? 1 : ties + 1;
        if (better || random.below(ties) == 0)
        {
            selected = index;
            shortest = completion;
        }
    }
    return selected;
}

} // namespace bilberrylead::policy
