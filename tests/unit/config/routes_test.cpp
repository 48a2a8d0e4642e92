#include "bilberrylead/config/routes.hpp"

#include "bilberrylead/config/upstream.hpp"
#include "tests/unit/config/configuration_text.hpp"

#include <memory>
#include <string>

using bilberrylead::service_id;
using bilberrylead::config::configuration;
using bilberrylead::config::labels;
using bilberrylead::config::route;
using bilberrylead::config::routes;

namespace
{

std::shared_ptr<routes const> compiled(configuration const& value)
{
    return routes::compile(std::make_shared<configuration const>(value));
}

service_id const lyrics("lyrics");
labels const app = {{"kind", "app"}, {"size", "small"}};

} // namespace

Test(routes, caller_with_the_labels_when_found_reaches_matching_upstreams)
{
    std::shared_ptr<routes const> const table = compiled(valid_configuration());
    route const* const found = table->find(lyrics, app);
    cr_assert_not_null(found);
    cr_assert_eq(found->zones.size(), 1U);
    cr_assert_eq(found->zones[0].region.text(), "mvd");
    cr_assert_eq(found->zones[0].upstreams[0]->id.text(), "u1");
}

Test(routes, caller_without_the_labels_when_found_reaches_nothing)
{
    std::shared_ptr<routes const> const table = compiled(valid_configuration());
    cr_assert_null(table->find(lyrics, {}));
    cr_assert_null(table->find(service_id("grants"), app));
}

Test(routes, service_without_selectors_when_found_reaches_all_by_zone)
{
    configuration value = valid_configuration();
    value.selectors.clear();
    std::shared_ptr<routes const> const table = compiled(value);
    route const* const found = table->find(lyrics, {});
    cr_assert_not_null(found);
    cr_assert_eq(found->zones.size(), 2U);
}

Test(routes, two_matching_selectors_when_found_give_their_union)
{
    configuration value = valid_configuration();
    value.selectors.push_back(value.selectors[0]);
    value.selectors[1].name = "s2";
    value.selectors[1].upstreams = {};
    std::shared_ptr<routes const> const table = compiled(value);
    cr_assert_eq(table->find(lyrics, app)->zones.size(), 2U);
}

Test(routes, caller_when_explained_learns_what_matches_and_what_lacks)
{
    configuration value = valid_configuration();
    value.upstreams[0].leaving = true;
    std::shared_ptr<routes const> const table = compiled(value);
    std::string const reached = table->explain(lyrics, app);
    cr_assert_neq(reached.find("Selector \"s1\" matches"), std::string::npos);
    cr_assert_neq(reached.find("Zone mvd-a (region mvd): u1 (leaving)."),
                  std::string::npos);
    std::string const lacking = table->explain(lyrics, {});
    cr_assert_neq(lacking.find("the caller lacks kind=app"), std::string::npos);
    cr_assert_neq(lacking.find("It reaches no upstream."), std::string::npos);
}
