#include "settings_template.hpp"

#include "bilberrylead/config/control_settings.hpp"
#include "bilberrylead/config/entry_settings.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

using bilberrylead::config::control_settings;
using bilberrylead::config::entry_settings;
using bilberrylead::config::parse_control_settings;
using bilberrylead::config::parse_entry_settings;
using bilberrylead::tests::render_template;

namespace
{

/// Fields of a host as the platform tells them, with every number that a
/// template uses.
constexpr char const* usual_fields = R"({
  "node_name": "h1", "zone": "a1", "region": "a", "ip": "10.1.0.6",
  "data_dir": "/data", "bootstrap": true,
  "listen": {"front": "10.1.0.6:8548", "readiness": "10.1.0.6:8542",
             "control": "10.1.0.6:8544", "directory": "10.1.0.6:8545"},
  "internal_ports": [7540, 7555],
  "seeds": ["10.1.0.8:8544", "10.2.0.34:8544"],
  "zones": {"a1": "a", "b1": "b"},
  "limits": {"link_mbps": 1000.0},
  "cloud": {"address": "10.200.0.187:8541", "rate_per_s": 44.0},
  "fault_tolerance": {"machines": 2, "zones": 1, "regions": 1},
  "bounds": {"grace_period_s": 6, "ttl_max_s": 5, "retry_budget_slack": 56,
             "retry_budget_ratio": 0.2, "cold_slack": 5,
             "cold_rate_factor": 1.5}
})";

std::string read_file(std::string const& path)
{
    std::ifstream stream(path);
    cr_assert(stream.good(), "%s", path.c_str());
    return {std::istreambuf_iterator<char>(stream), {}};
}

struct settings_template
{
    nlohmann::json fields = nlohmann::json::parse(usual_fields);

    entry_settings entry() const
    {
        std::string const text =
            render_template(read_file("deploy/entry.settings"), this->fields);
        absl::StatusOr<entry_settings> const value =
            parse_entry_settings(text, "entry");
        cr_assert(value.ok(), "%s\n%s", value.status().ToString().c_str(),
                  text.c_str());
        return *value;
    }

    control_settings control() const
    {
        std::string const text =
            render_template(read_file("deploy/control.settings"), this->fields);
        absl::StatusOr<control_settings> const value =
            parse_control_settings(text, "control");
        cr_assert(value.ok(), "%s\n%s", value.status().ToString().c_str(),
                  text.c_str());
        return *value;
    }
};

std::vector<std::string> const fractional_numbers = {
    "/limits/link_mbps",          "/cloud/rate_per_s",
    "/bounds/grace_period_s",     "/bounds/ttl_max_s",
    "/bounds/retry_budget_slack", "/bounds/retry_budget_ratio",
    "/bounds/cold_slack",         "/bounds/cold_rate_factor",
};

std::vector<std::string> const whole_numbers = {
    "/fault_tolerance/machines",
    "/fault_tolerance/zones",
    "/fault_tolerance/regions",
};

} // namespace

// Guards against processes that end at their start while the platform can name
// no seed, as after a loss of all control hosts at once: none of them would
// ever come back.
Test(settings_template, start_without_any_seed_is_possible)
{
    settings_template given;
    given.fields["seeds"] = nlohmann::json::array();
    given.fields["bootstrap"] = false;
    cr_expect(given.control().forms_itself());
    cr_expect(given.control().seeds.empty());
    cr_expect(given.entry().forms_itself());
}

// Guards against a first start that waits for ever, with nobody to found the
// group.
Test(settings_template, first_start_without_any_seed_is_refused)
{
    settings_template given;
    given.fields["seeds"] = nlohmann::json::array();
    std::string const text =
        render_template(read_file("deploy/control.settings"), given.fields);
    cr_expect_not(parse_control_settings(text, "control").ok());
}

// The platform states its bounds as integers or as fractions. A process that
// takes integers only ends at its start, so that no caller is served at all.
Test(settings_template, bounds_with_fractions_are_taken_as_they_are)
{
    settings_template given;
    given.fields["bounds"]["retry_budget_slack"] = 27.904761904761905;
    given.fields["bounds"]["cold_slack"] = 0.47619047619;
    entry_settings const value = given.entry();
    cr_expect_float_eq(value.retries.slack, 27.904761904761905, 1e-12);
    cr_expect_float_eq(value.cold.slack, 0.47619047619, 1e-12);
}

Test(settings_template, any_number_of_the_platform_is_no_reason_to_end)
{
    std::vector<nlohmann::json> const values = {0,   0.0, 0.1, 1,   2.0,
                                                7.5, 1e3, 3e5, 1e9, nullptr};
    for (std::string const& path : fractional_numbers)
    {
        for (nlohmann::json const& value : values)
        {
            settings_template given;
            given.fields[nlohmann::json::json_pointer(path)] = value;
            given.entry();
            given.control();
        }
    }
}

Test(settings_template, losses_of_any_size_are_taken)
{
    std::vector<nlohmann::json> const values = {0,   1,       2.0,
                                                500, 1000000, nullptr};
    for (std::string const& path : whole_numbers)
    {
        for (nlohmann::json const& value : values)
        {
            settings_template given;
            given.fields[nlohmann::json::json_pointer(path)] = value;
            given.control();
        }
    }
}

// What no page allows still ends the process, with the field's name.
Test(settings_template, negative_bound_is_refused_by_its_name)
{
    settings_template given;
    given.fields["bounds"]["retry_budget_slack"] = -1;
    std::string const text =
        render_template(read_file("deploy/entry.settings"), given.fields);
    std::string const message(
        parse_entry_settings(text, "entry").status().message());
    cr_assert_neq(message.find("retries.slack"), std::string::npos, "%s",
                  message.c_str());
}
