#include "bilberrylead/config/delta.hpp"

#include "bilberrylead/config/configuration_change.hpp"
#include "bilberrylead/config/diff.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/error.hpp"
#include "tests/unit/config/configuration_text.hpp"

#include <random>
#include <string>
#include <vector>

using bilberrylead::bytes;
using bilberrylead::error_kind;
using bilberrylead::kind_of;
using bilberrylead::config::apply_delta;
using bilberrylead::config::change_kind;
using bilberrylead::config::configuration;
using bilberrylead::config::configuration_change;
using bilberrylead::config::diff;
using bilberrylead::config::make_delta;
using bilberrylead::config::upstream;

namespace
{

configuration many_upstreams(int count)
{
    configuration value = valid_configuration();
    upstream const model = value.upstreams[0];
    for (int index = 0; index < count; ++index)
    {
        value.upstreams.push_back(model);
        value.upstreams.back().id =
            bilberrylead::upstream_id("many-" + std::to_string(index));
    }
    bilberrylead::config::sort_by_name(value);
    return value;
}

template <class Element>
void change_list(std::vector<Element>& list, std::mt19937_64& random)
{
    if (!list.empty() && random() % 3 == 0)
    {
        list.erase(list.begin() +
                   static_cast<std::ptrdiff_t>(random() % list.size()));
    }
    if (!list.empty() && random() % 3 == 0)
    {
        std::swap(list.front(), list[random() % list.size()]);
    }
}

configuration changed(configuration value, std::mt19937_64& random)
{
    change_list(value.services, random);
    change_list(value.places, random);
    change_list(value.links, random);
    change_list(value.selectors, random);
    change_list(value.callers, random);
    change_list(value.upstreams, random);
    for (upstream& each : value.upstreams)
    {
        each.slots += random() % 10 == 0 ? 1 : 0;
        each.leaving = random() % 10 == 0;
        each.labels["turn"] = std::to_string(random() % 3);
    }
    if (random() % 2 == 0)
    {
        value.upstreams.push_back(valid_configuration().upstreams[0]);
        value.upstreams.back().id = bilberrylead::upstream_id(
            "new-" + std::to_string(random() % 1'000));
    }
    value.shift_cap = 1 + random() % 1'000;
    bilberrylead::config::sort_by_name(value);
    return value;
}

} // namespace

Test(delta, seeded_pairs_when_applied_lead_to_the_other)
{
    for (std::uint64_t seed = 0; seed < 500; ++seed)
    {
        std::mt19937_64 random(seed);
        configuration const before = changed(many_upstreams(10), random);
        configuration const after = changed(before, random);
        absl::StatusOr<configuration> const result =
            apply_delta(before, make_delta(before, after));
        cr_assert(result.ok(), "seed %lu: %s", seed,
                  result.status().ToString().c_str());
        cr_assert(*result == after, "seed %lu", seed);
    }
}

Test(delta, one_change_when_encoded_is_as_small_in_a_large_configuration)
{
    configuration const small = many_upstreams(10);
    configuration const large = many_upstreams(5'000);
    configuration small_after = small;
    configuration large_after = large;
    small_after.upstreams[3].leaving = true;
    large_after.upstreams[3].leaving = true;
    std::size_t const small_size = make_delta(small, small_after).size();
    std::size_t const large_size = make_delta(large, large_after).size();
    cr_assert_lt(large_size, small_size + 20);
    cr_assert_lt(large_size, 500U);
}

Test(delta, other_base_when_applied_is_a_conflict)
{
    configuration const before = many_upstreams(3);
    configuration after = before;
    after.shift_cap = 7;
    configuration other = before;
    other.upstreams[0].slots = 9;
    absl::Status const status =
        apply_delta(other, make_delta(before, after)).status();
    cr_assert(kind_of(status) == error_kind::conflict);
}

Test(delta, seeded_damage_when_applied_never_passes_as_another_result)
{
    configuration const before = many_upstreams(3);
    configuration after = before;
    after.upstreams[1].slots = 9;
    after.upstreams.pop_back();
    bytes const whole = make_delta(before, after);
    for (std::uint64_t seed = 0; seed < 5'000; ++seed)
    {
        std::mt19937_64 random(seed);
        bytes damaged = whole;
        damaged[random() % damaged.size()] ^=
            static_cast<std::uint8_t>(1 + random() % 255);
        if (random() % 4 == 0)
        {
            damaged.resize(random() % damaged.size());
        }
        absl::StatusOr<configuration> const result =
            apply_delta(before, damaged);
        cr_assert(!result.ok() || *result == after, "seed %lu", seed);
    }
}

Test(diff, changes_when_compared_are_named_with_their_fields)
{
    configuration const before = valid_configuration();
    configuration after = before;
    after.shift_cap = 60;
    after.upstreams[0].slots = 5;
    after.upstreams[0].leaving = true;
    after.selectors.clear();
    after.upstreams.push_back(after.upstreams[1]);
    after.upstreams.back().id = bilberrylead::upstream_id("u0");
    std::string const text = to_text(diff(before, after));
    cr_assert_eq(text,
                 "~ configuration: shift_cap 50 -> 60\n"
                 "+ upstreams u0\n"
                 "~ upstreams u1: slots 3 -> 5, leaving false -> true\n"
                 "- selectors s1\n",
                 "%s", text.c_str());
}

Test(diff, equal_configurations_in_other_order_when_compared_differ_in_nothing)
{
    configuration const before = valid_configuration();
    configuration after = before;
    std::swap(after.upstreams[0], after.upstreams[1]);
    cr_assert(diff(before, after).empty());
    std::vector<configuration_change> const changes =
        diff(before, configuration{});
    cr_assert(changes.back().kind == change_kind::removed);
}
