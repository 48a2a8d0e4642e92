#include "bilberrylead/policy/upstream_placement.hpp"

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/retry_time.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::policy
{

namespace
{

/// Mixes an object with an upstream; the largest result is the object's
/// first upstream.
std::uint64_t rank(std::uint64_t object, std::uint64_t upstream)
{
    return generator(object ^ upstream).next();
}

} // namespace

upstream_placement::upstream_placement(placement_settings const& chosen)
    : settings(chosen)
{
}

duration upstream_placement::expected_wait(placement_candidate const& candidate)
{
    double const held =
        static_cast<double>(candidate.in_flight) + candidate.others;
    double const excess = held + 1.0 - candidate.slots;
    return excess <= 0
               ? duration::zero()
               : scaled(candidate.service_time, excess / candidate.slots);
}

upstream_placement::favourites upstream_placement::favourites_of(
    std::span<placement_candidate const> candidates,
    placement_question const& question, std::uint32_t region)
{
    favourites found;
    std::uint64_t first_rank = 0;
    std::uint64_t second_rank = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        placement_candidate const& each = candidates[index];
        if (!each.allowed || each.region != region)
        {
            continue;
        }
        std::uint64_t const own = rank(question.object, each.hash);
        if (!found.first.has_value() || own > first_rank)
        {
            found.second = found.first;
            second_rank = first_rank;
            found.first = index;
            first_rank = own;
        }
        else if (!found.second.has_value() || own > second_rank)
        {
            found.second = index;
            second_rank = own;
        }
    }
    return found;
}

double upstream_placement::run_factor(placement_candidate const& candidate,
                                      std::size_t index,
                                      favourites const& known,
                                      placement_question const& question) const
{
    // Other entry hosts send the object to its first upstream as well.
    if (question.object == 0 || candidate.familiar || known.first == index)
    {
        return 1;
    }
    return known.second == index ? this->settings.second_factor
                                 : this->settings.unfamiliar_factor;
}

placement_verdict
upstream_placement::place(std::span<placement_candidate const> candidates,
                          placement_question const& question,
                          generator& random) const
{
    bool const has_region =
        std::any_of(candidates.begin(), candidates.end(),
                    [&question](placement_candidate const& each)
                    {
                        return each.allowed && each.region == question.region;
                    });
    std::optional<placed> best;
    favourites known;
    std::optional<std::uint32_t> known_region;
    std::uint32_t ties = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        placement_candidate const& each = candidates[index];
        if (!each.allowed || (has_region && each.region != question.region))
        {
            continue;
        }
        if (known_region != each.region)
        {
            known_region = each.region;
            known = favourites_of(candidates, question, each.region);
        }
        duration const wait = expected_wait(each);
        double const factor = this->run_factor(each, index, known, question);
        duration const run = scaled(each.service_time, factor);
        duration completion = 2 * each.distance + wait + run + each.penalty;
        if (each.tried)
        {
            // Another upstream first, this one before a refusal.
            completion += question.to_deadline;
        }
        if (best.has_value() && completion > best->completion)
        {
            continue;
        }
        bool const better = !best.has_value() || completion < best->completion;
        ties = better ? 1 : ties + 1;
        if (better || random.below(ties) == 0)
        {
            best = placed{index, completion, wait, factor};
        }
    }
    if (!best.has_value())
    {
        return nowhere_to_place{};
    }
    placement_candidate const& chosen = candidates[best->index];
    if (chosen.tried)
    {
        best->completion -= question.to_deadline;
    }
    duration const rest = best->completion - best->wait;
    duration const borne =
        std::max(question.to_aim - rest,
                 scaled(chosen.service_time, this->settings.least_wait_share));
    bool const too_late =
        best->completion >
        scaled(question.to_deadline, this->settings.deadline_share);
    if (best->wait <= borne && !too_late)
    {
        return *best;
    }
    return no_room_to_place{
        best->wait, retry_time(best->wait - borne, this->settings, random)};
}

} // namespace bilberrylead::policy
