#include "policy_row.hpp"

#include "bilberrylead/policy/least_completion_choice.hpp"
#include "bilberrylead/policy/least_in_flight_choice.hpp"
#include "bilberrylead/policy/power_of_two_choice.hpp"
#include "bilberrylead/policy/random_choice.hpp"
#include "bilberrylead/policy/round_robin_choice.hpp"
#include "direct_model.hpp"
#include "ideal_model.hpp"
#include "owner_model.hpp"

namespace policy_bench
{

using namespace bilberrylead::policy;

namespace
{

template <class Choice>
policy_row direct(std::string name, steering_kind steered, bool own_region_only)
{
    return {std::move(name), [steered, own_region_only](
                                 profile const& where, scenario const& what,
                                 std::vector<arrival> const& arrivals)
            {
                return direct_model<Choice>(where, what, arrivals, steered,
                                            own_region_only)
                    .run();
            }};
}

policy_row owner(std::string name, steering_kind steered,
                 slot_owner_settings const& settings)
{
    return {
        std::move(name),
        [steered, settings](profile const& where, scenario const& what,
                            std::vector<arrival> const& arrivals)
        {
            return owner_model(where, what, arrivals, steered, settings).run();
        }};
}

/// The cheaper way: each entry host has a fixed part of its zone's slots and
/// asks nobody; work may move to hosts with room, or stay.
policy_row fixed_parts(std::string name, bool moves)
{
    slot_owner_settings settings;
    settings.allow_moves = moves;
    settings.slots.max_sent_in_advance = 0;
    return {std::move(name),
            [settings](profile const& where, scenario const& what,
                       std::vector<arrival> const& arrivals)
            {
                return owner_model(split_by_entry_host(where), what, arrivals,
                                   steering_kind::by_capacity, settings)
                    .run();
            }};
}

/// What is possible without work that crosses regions: one queue for each
/// region, no links within.
policy_row ideal_of_regions()
{
    slot_owner_settings settings;
    settings.allow_moves = false;
    settings.slots.max_sent_in_advance = 0;
    settings.admission.queue.by_flow = false;
    return {"ideal within each region",
            [settings](profile const& where, scenario const& what,
                       std::vector<arrival> const& arrivals)
            {
                return owner_model(merge_regions(where), what, arrivals,
                                   steering_kind::by_capacity, settings)
                    .run();
            }};
}

/// The product with one rule switched off.
template <class Change>
policy_row without(std::string name, Change change)
{
    slot_owner_settings settings;
    change(settings);
    return owner(std::move(name), steering_kind::by_capacity, settings);
}

void add_baselines(std::vector<policy_row>& rows)
{
    steering_kind const even = steering_kind::even;
    steering_kind const by_capacity = steering_kind::by_capacity;
    rows.push_back(direct<random_choice>("random", even, false));
    rows.push_back(direct<round_robin_choice>("round robin", even, false));
    rows.push_back(direct<power_of_two_choice>("two choices", even, false));
    rows.push_back(
        direct<least_in_flight_choice>("least in flight", even, false));
    rows.push_back(
        direct<power_of_two_choice>("two choices, own region", even, true));
    rows.push_back(direct<least_in_flight_choice>(baseline_name, even, true));
    rows.push_back(direct<least_in_flight_choice>(
        "least in flight, own region, steered", by_capacity, true));
    rows.push_back(direct<least_completion_choice>("least completion time",
                                                   by_capacity, false));
}

void add_rules_off(std::vector<policy_row>& rows)
{
    rows.push_back(owner("ours, steering off", steering_kind::even, {}));
    rows.push_back(without("ours, moves off",
                           [](slot_owner_settings& s)
                           {
                               s.allow_moves = false;
                           }));
    rows.push_back(without("ours, nothing sent ahead",
                           [](slot_owner_settings& s)
                           {
                               s.slots.max_sent_in_advance = 0;
                           }));
    rows.push_back(without("ours, slow not avoided",
                           [](slot_owner_settings& s)
                           {
                               s.slots.avoid_slow = false;
                           }));
    rows.push_back(without("ours, long work not limited",
                           [](slot_owner_settings& s)
                           {
                               s.admission.long_work.enabled = false;
                           }));
    rows.push_back(without("ours, first come first served",
                           [](slot_owner_settings& s)
                           {
                               s.admission.queue.by_flow = false;
                           }));
    rows.push_back(without("ours, wait not bounded",
                           [](slot_owner_settings& s)
                           {
                               s.admission.bounded = false;
                           }));
}

} // namespace

std::vector<policy_row> all_policies()
{
    std::vector<policy_row> rows;
    add_baselines(rows);
    add_rules_off(rows);
    rows.push_back(fixed_parts("slots dealt out to entry hosts", false));
    rows.push_back(fixed_parts("slots dealt out, work moves", true));
    rows.push_back(owner(product_name, steering_kind::by_capacity, {}));
    rows.push_back(ideal_of_regions());
    rows.push_back({ideal_name, [](profile const& where, scenario const& what,
                                   std::vector<arrival> const& arrivals)
                    {
                        return ideal_model(where, what, arrivals).run();
                    }});
    return rows;
}

} // namespace policy_bench
