#include "bilberrylead/presence/name_regions.hpp"

#include "bilberrylead/config/configuration.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

using namespace bilberrylead;
using presence::name_regions;

namespace
{

config::request_route route(std::string const& host,
                            std::vector<region_id> const& regions)
{
    config::request_route made;
    made.host = host;
    made.regions = regions;
    return made;
}

} // namespace

// Guards against callers that are sent to a region in which one of the routes
// of their host name may not be received.
Test(name_regions, are_those_that_all_bound_routes_of_a_name_allow)
{
    config::configuration content;
    content.request_routes = {route("a", {}),
                              route("a", {region_id("r1"), region_id("r2")}),
                              route("a", {region_id("r2"), region_id("r3")}),
                              route("b", {}),
                              route("c", {region_id("r1")}),
                              route("c", {region_id("r2")})};
    name_regions const regions(content);
    cr_assert(regions.find("a").has_value());
    cr_expect(*regions.find("a") == std::set<region_id>{region_id("r2")});
    cr_expect_not(regions.find("b").has_value());
    cr_assert(regions.find("c").has_value());
    cr_expect(regions.find("c")->empty());
    cr_expect_not(regions.find("unknown").has_value());
    cr_expect_not(name_regions().find("a").has_value());
}
