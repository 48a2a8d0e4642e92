#include "bilberrylead/ctl/explain_commands.hpp"

#include "bilberrylead/config/configuration_change.hpp"
#include "bilberrylead/config/diff.hpp"
#include "bilberrylead/core/error.hpp"
#include "tests/unit/config/configuration_text.hpp"

#include <nlohmann/json.hpp>

#include <memory>

using bilberrylead::error_kind;
using bilberrylead::kind_of;
using bilberrylead::config::configuration;
using bilberrylead::ctl::caller_explanation;
using bilberrylead::ctl::changes_json;
using bilberrylead::ctl::explain_caller;

namespace
{

absl::StatusOr<caller_explanation> explained(configuration value,
                                             std::string const& service,
                                             std::string const& caller)
{
    return explain_caller(
        std::make_shared<configuration const>(std::move(value)), service,
        caller);
}

} // namespace

Test(explain, caller_in_a_block_reaches_the_selected_upstream)
{
    absl::StatusOr<caller_explanation> const found =
        explained(valid_configuration(), "lyrics", "10.1.2.3");
    cr_assert(found.ok());
    cr_expect(found->block == "10.1.0.0/16");
    cr_expect(found->zone == "mvd-a");
    cr_expect(found->upstreams == std::vector<std::string>{"u1"});
    cr_expect(found->reasons.find("\"s1\" matches") != std::string::npos);
}

Test(explain, caller_in_no_block_reaches_nothing_and_hears_why)
{
    absl::StatusOr<caller_explanation> const found =
        explained(valid_configuration(), "lyrics", "192.0.2.1");
    cr_assert(found.ok());
    cr_expect(found->block.empty());
    cr_expect(found->upstreams.empty());
    cr_expect(found->reasons.find("lacks kind=app") != std::string::npos);
}

Test(explain, smaller_block_wins_over_a_larger_one)
{
    configuration value = valid_configuration();
    value.callers.push_back(value.callers.front());
    value.callers.back().block = "10.1.2.0/24";
    value.callers.back().labels.clear();
    absl::StatusOr<caller_explanation> const found =
        explained(value, "lyrics", "10.1.2.3");
    cr_assert(found.ok());
    cr_expect(found->block == "10.1.2.0/24");
    cr_expect(found->upstreams.empty());
}

Test(explain, wrong_input_has_its_error_kind)
{
    configuration dangling = valid_configuration();
    dangling.upstreams.front().zone = bilberrylead::zone_id("nowhere");
    cr_expect(kind_of(explained(valid_configuration(), "lyrics", "10.1.2")
                          .status()) == error_kind::bad_value);
    cr_expect(kind_of(explained(valid_configuration(), "songs", "10.1.2.3")
                          .status()) == error_kind::unknown_name);
    cr_expect(kind_of(explained(dangling, "lyrics", "10.1.2.3").status()) ==
              error_kind::unknown_name);
}

Test(diff, changed_added_and_removed_elements_become_json)
{
    configuration const before = valid_configuration();
    configuration after = before;
    after.upstreams.back().slots = 6;
    after.links.clear();
    nlohmann::json const rows =
        changes_json(bilberrylead::config::diff(before, after));
    cr_assert(rows.size() == 2U);
    cr_expect(rows[0]["kind"] == "removed");
    cr_expect(rows[0]["list"] == "links");
    cr_expect(rows[1]["kind"] == "changed");
    cr_expect(rows[1]["name"] == "u2");
    cr_expect(rows[1]["fields"][0]["before"] == "5");
    cr_expect(rows[1]["fields"][0]["after"] == "6");
    cr_expect(changes_json(bilberrylead::config::diff(before, before)).empty());
}
