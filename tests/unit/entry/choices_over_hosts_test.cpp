#include "tests/unit/entry/entry_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

constexpr std::size_t hosts = 80;
constexpr std::uint64_t started_at = 1'770'000'000'000;

/// Entry hosts in front of so many equal upstreams of one service.
entry_fleet in_front_of(std::size_t upstreams, std::uint32_t slots)
{
    auto listing = std::make_shared<listed_upstreams>();
    for (std::size_t place = 0; place < upstreams; ++place)
    {
        listing->push_back(
            make_listed("read", fmt::format("read-{}", place), slots));
    }
    return {hosts, make_one_route({{service_id("read"), 1}}), listing,
            started_at};
}

} // namespace

// Guards against hosts that choose alike between equal upstreams: the first
// request of each would go to the same one.
Test(choices_over_hosts, first_requests_spread_over_equal_upstreams)
{
    constexpr std::size_t upstreams = 16;
    constexpr int most_at_one = 3 * hosts / upstreams;
    entry_fleet fleet = in_front_of(upstreams, 3);
    std::map<std::string, int> sent;
    for (std::size_t place = 0; place < fleet.size(); ++place)
    {
        ++sent[fleet.sent_to(place)];
    }
    for (auto const& [upstream, count] : sent)
    {
        cr_expect_leq(count, most_at_one, "%s", upstream.c_str());
    }
}

// Guards against hosts that tell callers which they refuse at the same moment
// to come back at the same moment.
Test(choices_over_hosts, refused_callers_come_back_at_different_times)
{
    entry_fleet fleet = in_front_of(1, 1);
    std::set<duration> told;
    for (std::size_t place = 0; place < fleet.size(); ++place)
    {
        effects said = fleet.arrive(place);
        while (find_effect<answer_not_run>(said) == nullptr)
        {
            said = fleet.arrive(place);
        }
        told.insert(find_effect<answer_not_run>(said)->retry_after);
    }
    cr_expect_eq(told.size(), hosts);
}
