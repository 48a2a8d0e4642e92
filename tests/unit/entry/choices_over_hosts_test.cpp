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

/// Entry hosts that share this many equal upstreams of one service.
entry_fleet make_fleet(std::size_t upstreams, std::uint32_t slots)
{
    auto listing = std::make_shared<listed_upstreams>();
    for (std::size_t index = 0; index < upstreams; ++index)
    {
        listing->push_back(
            make_listed("read", fmt::format("read-{}", index), slots));
    }
    return {hosts, make_one_route({{service_id("read"), 1}}), listing,
            started_at};
}

} // namespace

// Guards against hosts that choose identically between equal upstreams: the
// first request of every host would go to the same one.
Test(choices_over_hosts, first_requests_spread_over_equal_upstreams)
{
    constexpr std::size_t upstreams = 16;
    constexpr int max_per_upstream = 3 * hosts / upstreams;
    entry_fleet fleet = make_fleet(upstreams, 3);
    std::map<std::string, int> sent;
    for (std::size_t host = 0; host < fleet.size(); ++host)
    {
        ++sent[fleet.sent_to(host)];
    }
    for (auto const& [upstream, count] : sent)
    {
        cr_expect_leq(count, max_per_upstream, "%s", upstream.c_str());
    }
}

// Guards against hosts that send the same retry time to all callers that they
// refuse at the same moment.
Test(choices_over_hosts, refused_callers_get_different_retry_times)
{
    entry_fleet fleet = make_fleet(1, 1);
    std::set<duration> retry_times;
    for (std::size_t host = 0; host < fleet.size(); ++host)
    {
        effects decided = fleet.arrive(host);
        while (find_effect<answer_not_run>(decided) == nullptr)
        {
            decided = fleet.arrive(host);
        }
        retry_times.insert(find_effect<answer_not_run>(decided)->retry_after);
    }
    cr_expect_eq(retry_times.size(), hosts);
}
