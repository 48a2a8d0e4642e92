#include "bilberrylead/config/check.hpp"

#include "bilberrylead/core/error.hpp"
#include "tests/unit/config/configuration_text.hpp"

#include <string>
#include <vector>

using bilberrylead::error_kind;
using bilberrylead::kind_of;
using bilberrylead::config::check;
using bilberrylead::config::configuration;
using bilberrylead::config::parse_configuration;
using bilberrylead::config::warnings;

namespace
{

/// One inconsistent configuration and what the error says.
struct inconsistent
{
    std::string part;
    std::string replacement;
    error_kind kind;
    std::string message;
};

std::vector<inconsistent> const inconsistents = {
    {"\"zone\": \"sao-a\",\n", "\"zone\": \"sao-b\",\n",
     error_kind::unknown_name,
     "upstreams \"u2\": \"sao-b\" is not among places. Did you mean"},
    {"\"service\": \"lyrics\", \"zone\": \"mvd-a\"",
     "\"service\": \"grants\", \"zone\": \"mvd-a\"", error_kind::unknown_name,
     "\"grants\" is not among services. Define it in services."},
    {"\"name\": \"u2\"", "\"name\": \"u1\"", error_kind::duplicate_name,
     "upstreams: \"u1\" is defined twice."},
    {"127.0.0.1:4", "127.0.0.1:3", error_kind::duplicate_name,
     "addresses: \"127.0.0.1:3\" is defined twice."},
    {"\"to\": \"sao\"", "\"to\": \"mvd\"", error_kind::bad_value,
     "links \"mvd-mvd\": The link ends where it starts."},
    {"\"upstreams\": {\"pool\": \"karaoke\"}",
     "\"upstreams\": {\"pool\": \"karoake\"}", error_kind::unknown_name,
     "selectors \"s1\": No upstream of service \"lyrics\" carries"},
    {"10.1.0.0/16", "10.1.0.0", error_kind::bad_value,
     "callers \"10.1.0.0\": This is no address block."},
    {"10.1.0.0/16", "10.1.2.0/16", error_kind::bad_value, "Write 10.1.0.0/16."},
    {"10.1.0.0/16", "2001:db8::/129", error_kind::bad_value,
     "This is no address block."},
    {"\"idempotent\": true", "\"idempotent\": true, \"guarded\": true",
     error_kind::bad_value, "A guarded service is not idempotent."},
};

} // namespace

Test(check, valid_configuration_when_checked_passes_without_warnings)
{
    configuration const value = valid_configuration();
    absl::Status const status = check(value);
    cr_assert(status.ok(), "%s", status.ToString().c_str());
    cr_assert(warnings(value).empty());
}

Test(check, inconsistent_configurations_when_checked_name_the_fault)
{
    for (inconsistent const& row : inconsistents)
    {
        absl::StatusOr<configuration> const value = parse_configuration(
            valid_text_with(row.part, row.replacement), "bad.jsonc");
        cr_assert(value.ok(), "%s", value.status().ToString().c_str());
        absl::Status const status = check(*value);
        std::string const message(status.message());
        cr_expect(kind_of(status) == row.kind, "%s", message.c_str());
        cr_expect_neq(message.find(row.message), std::string::npos,
                      "expected: %s\ngot: %s", row.message.c_str(),
                      message.c_str());
    }
}

Test(check, value_built_by_code_when_out_of_range_is_an_error)
{
    configuration value = valid_configuration();
    value.upstreams[0].slots = 0;
    value.services[0].deadline = std::chrono::microseconds(1);
    value.entry_hosts[0].address.address = "example";
    std::string const message(check(value).message());
    cr_assert_neq(message.find("upstreams[0].slots"), std::string::npos);
    cr_assert_neq(message.find("services[0].deadline_ms"), std::string::npos);
    cr_assert_neq(message.find("entry_hosts[0].address"), std::string::npos);
}

Test(check, drained_upstreams_when_checked_pass_with_a_warning)
{
    configuration value = valid_configuration();
    value.upstreams[0].leaving = true;
    value.upstreams[1].leaving = true;
    cr_assert(check(value).ok());
    cr_assert_eq(warnings(value).size(), 1U);
}

Test(check, selector_without_callers_when_checked_is_a_warning)
{
    configuration value = valid_configuration();
    value.callers[0].labels.clear();
    cr_assert(check(value).ok());
    cr_assert_eq(warnings(value).size(), 1U);
}
