#include "bilberrylead/config/control_settings.hpp"
#include "bilberrylead/config/entry_settings.hpp"
#include "bilberrylead/core/error.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

using bilberrylead::error_kind;
using bilberrylead::kind_of;
using bilberrylead::config::admission_mode;
using bilberrylead::config::control_settings;
using bilberrylead::config::entry_settings;
using bilberrylead::config::object_homes;
using bilberrylead::config::parse_control_settings;
using bilberrylead::config::parse_entry_settings;

namespace
{

constexpr char const* control_text = R"({
  "name": "c1", "zone": "a", "region": "r", "data_folder": "data/c1",
  "peer_listen": "127.0.0.1:1", "operator_listen": "127.0.0.1:2",
  "metrics_listen": "127.0.0.1:3",
  "control_hosts": [{"name": "c1", "address": "127.0.0.1:1"},
                    {"name": "c2", "address": "127.0.0.2:1"},
                    {"name": "c3", "address": "127.0.0.3:1"}],
  "peer_key": "a-peer-key-of-more-than-32-letters",
  "operators": [
    {"name": "ana", "key": "operator-ana-key-of-over-32-letters"},
    {"name": "bo", "key": "operator-bo-key-of-over-32-letters-"}],
  "log_level": "warning"
})";

constexpr char const* entry_text = R"({
  "name": "e1", "zone": "a", "region": "r",
  "caller_listen": "0.0.0.0:80", "peer_listen": "127.0.0.1:2",
  "metrics_listen": "127.0.0.1:3",
  "control_hosts": [{"name": "c1", "address": "127.0.0.1:1"}],
  "neighbours": [{"name": "e2", "address": "127.0.0.2:2"}],
  "peer_key": "a-peer-key-of-more-than-32-letters",
  "limits": {"requests": 100, "header_timeout_ms": 500},
  "object_homes": "zone", "zone_crossing_cost_ms": 30,
  "remembered_objects": 48,
  "pipelining": {"max_requests": 16, "max_answer_bytes": 32768}
})";

/// One bad settings text and what the error says.
struct bad_settings
{
    std::string part;
    std::string replacement;
    error_kind kind;
    std::string message;
};

std::vector<bad_settings> const bad_control_settings = {
    {"\"name\": \"c3\", ", "\"name\": \"c2\", ", error_kind::duplicate_name,
     "control_hosts: \"c2\" stands here twice."},
    {"127.0.0.2:1", "127.0.0.3:1", error_kind::duplicate_name,
     "Give each host its own address."},
    {"{\"name\": \"c3\", \"address\": \"127.0.0.3:1\"}],", "],",
     error_kind::syntax, "bad.jsonc: Not JSON"},
    {",\n                    {\"name\": \"c3\", \"address\": "
     "\"127.0.0.3:1\"}",
     "", error_kind::bad_value, "These are 2 hosts. Name 1, 3, 5 or 7"},
    {"\"name\": \"c1\", \"zone\"", "\"name\": \"c9\", \"zone\"",
     error_kind::unknown_name, "\"c9\" itself is not among them."},
    {"127.0.0.1:2", "127.0.0.1:3", error_kind::duplicate_name,
     "Two listeners have the same address and port."},
    {"a-peer-key-of-more-than-32-letters", "short", error_kind::bad_value,
     "peer_key: The key has 5 letters. Use 32 to 256"},
    {"operator-bo-key-of-over-32-letters-",
     "operator-ana-key-of-over-32-letters", error_kind::duplicate_name,
     "The key of \"bo\" is used elsewhere."},
    {"\"name\": \"bo\"", "\"name\": \"ana\"", error_kind::duplicate_name,
     "operators: \"ana\" stands here twice."},
    {"\"warning\"", "\"loud\"", error_kind::bad_value,
     "log_level: This is string. Write \"debug\" or \"info\""},
    {"\"warning\"", "\"warning\", \"admission\": \"sometimes\"",
     error_kind::bad_value,
     "admission: This is string. Write \"none\" or \"by_rank\""},
    {"\"warning\"",
     "\"warning\", \"admission\": \"by_plan\", "
     "\"upstream_list\": \"127.0.0.1:9\"",
     error_kind::bad_value,
     "admission: \"by_plan\" needs the zones and their regions."},
    {"\"warning\"",
     "\"warning\", \"admission\": \"by_plan\", "
     "\"places\": [{\"zone\": \"a\", \"region\": \"r\"}]",
     error_kind::bad_value,
     "admission: \"by_plan\" needs a list of upstreams."},
    {"\"data_folder\": \"data/c1\"", "\"data_folder\": \"\"",
     error_kind::bad_value, "data_folder"},
    {"\"data_folder\"", "\"data_foldr\"", error_kind::missing_field,
     "Did you mean \"data_folder\"?"},
};

std::vector<bad_settings> const bad_entry_settings = {
    {"[{\"name\": \"c1\", \"address\": \"127.0.0.1:1\"}]", "[]",
     error_kind::bad_value, "Name the control hosts, 1 to 7."},
    {"\"name\": \"e2\"", "\"name\": \"e1\"", error_kind::bad_value,
     "neighbours: \"e1\" itself is among them."},
    {"\"requests\": 100", "\"requests\": 0", error_kind::bad_value,
     "limits.requests: 0 is out of range."},
    {"\"requests\": 100", "\"request\": 100", error_kind::unknown_field,
     "limits.request: This field is not known. Did you mean \"requests\"?"},
    {"\"object_homes\": \"zone\"", "\"object_homes\": \"rack\"",
     error_kind::bad_value,
     "object_homes: This is string. Write \"region\" or \"zone\""},
    {"\"zone_crossing_cost_ms\": 30", "\"zone_crossing_cost_ms\": 1001",
     error_kind::bad_value,
     "zone_crossing_cost_ms: 1001 is out of range. Write a whole number from "
     "0 to 1000."},
    {"\"remembered_objects\": 48", "\"remembered_objects\": 0",
     error_kind::bad_value,
     "remembered_objects: 0 is out of range. Write a whole number from 1 to "
     "10000."},
    {"\"remembered_objects\": 48", "\"remembered_objects\": 10001",
     error_kind::bad_value, "remembered_objects: 10001 is out of range."},
    {"\"max_requests\": 16", "\"max_requests\": 0", error_kind::bad_value,
     "pipelining.max_requests: 0 is out of range. Write a whole number from 1 "
     "to 256."},
    {"\"max_requests\": 16", "\"max_requests\": 257", error_kind::bad_value,
     "pipelining.max_requests: 257 is out of range. Write a whole number from "
     "1 to 256."},
    {"\"max_answer_bytes\": 32768", "\"max_answer_bytes\": 1023",
     error_kind::bad_value,
     "pipelining.max_answer_bytes: 1023 is out of range. Write a whole number "
     "from 1024 to 16777216."},
    {"\"max_answer_bytes\": 32768", "\"max_answer_bytes\": 16777217",
     error_kind::bad_value,
     "pipelining.max_answer_bytes: 16777217 is out of range. Write a whole "
     "number from 1024 to 16777216."},
    {"\"max_answer_bytes\": 32768", "\"max_answers\": 32768",
     error_kind::unknown_field,
     "pipelining.max_answers: This field is not known."},
    {"\"name\": \"e1\"", "\"first_revision_wait_ms\": 5001, \"name\": \"e1\"",
     error_kind::bad_value,
     "first_revision_wait_ms: 5001 is out of range. Write a whole number from "
     "0 to 5000."},
    {"\"name\": \"e1\"", "\"admission\": \"ranks\", \"name\": \"e1\"",
     error_kind::bad_value, "Write \"none\" or \"by_rank\" or \"by_plan\"."},
    {"\"name\": \"e1\"", "\"admission\": \"by_rank\", \"name\": \"e1\"",
     error_kind::bad_value, "Set \"waiting\" to \"upstream\""},
};

template <class Parse>
void expect_errors(std::string const& valid, Parse parse,
                   std::vector<bad_settings> const& rows)
{
    for (bad_settings const& row : rows)
    {
        std::string text = valid;
        std::size_t const position = text.find(row.part);
        cr_assert_neq(position, std::string::npos, "%s", row.part.c_str());
        text.replace(position, row.part.size(), row.replacement);
        absl::Status const status = parse(text, "bad.jsonc").status();
        std::string const message(status.message());
        cr_expect(kind_of(status) == row.kind, "%s", message.c_str());
        cr_expect_neq(message.find(row.message), std::string::npos,
                      "expected: %s\ngot: %s", row.message.c_str(),
                      message.c_str());
    }
}

} // namespace

Test(settings, control_host_text_when_parsed_gives_its_values)
{
    absl::StatusOr<control_settings> const value =
        parse_control_settings(control_text, "control.jsonc");
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    cr_assert_eq(value->control_hosts.size(), 3U);
    cr_assert_eq(value->operators[1].name, "bo");
    cr_assert(value->lowest_log_level == bilberrylead::log_level::warning);
    cr_expect(value->admission == admission_mode::none);
}

Test(settings, admission_by_plan_when_parsed_is_set_at_a_control_host)
{
    std::string text = control_text;
    std::string const level = "\"warning\"";
    text.replace(text.find(level), level.size(),
                 "\"warning\", \"admission\": \"by_plan\", "
                 "\"upstream_list\": \"127.0.0.1:9\", "
                 "\"places\": [{\"zone\": \"a\", \"region\": \"r\"}]");
    absl::StatusOr<control_settings> const value =
        parse_control_settings(text, "control.jsonc");
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    cr_expect(value->admission == admission_mode::by_plan);
}

Test(settings, entry_host_text_when_parsed_gives_its_values)
{
    absl::StatusOr<entry_settings> const value =
        parse_entry_settings(entry_text, "entry.jsonc");
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    cr_assert_eq(value->caller_listen.port, 80);
    cr_assert_eq(value->limits.requests, 100U);
    cr_assert(value->limits.header_timeout == std::chrono::milliseconds(500));
    cr_assert_eq(value->limits.connections, 8192U);
    cr_assert(value->homes == object_homes::zone);
    cr_assert(value->zone_crossing_cost == std::chrono::milliseconds(30));
    cr_assert_eq(value->remembered_objects, 48U);
}

Test(settings, object_homes_when_not_given_are_those_of_the_region)
{
    std::string text = entry_text;
    std::size_t const from = text.find(",\n  \"object_homes\"");
    text.replace(from, text.size() - from, "}");
    absl::StatusOr<entry_settings> const value =
        parse_entry_settings(text, "entry.jsonc");
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    cr_assert(value->homes == object_homes::region);
    cr_assert(value->zone_crossing_cost == bilberrylead::duration::zero());
    cr_assert_eq(value->remembered_objects, 12U);
}

// Guards against a setting that is read but not kept.
Test(settings, admission_of_an_entry_host_when_given_is_kept)
{
    using bilberrylead::config::admission_mode;
    absl::StatusOr<entry_settings> const without =
        parse_entry_settings(entry_text, "entry.jsonc");
    cr_assert(without.ok());
    cr_expect(without->admission == admission_mode::none);
    std::string text = entry_text;
    text.insert(text.find("\"name\""),
                R"("waiting": "upstream", "admission": "by_plan", )");
    absl::StatusOr<entry_settings> const value =
        parse_entry_settings(text, "entry.jsonc");
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    cr_expect(value->admission == admission_mode::by_plan);
}

Test(settings, bad_texts_when_parsed_name_place_fault_and_remedy)
{
    expect_errors(control_text, parse_control_settings, bad_control_settings);
    expect_errors(entry_text, parse_entry_settings, bad_entry_settings);
}

Test(settings, bad_key_when_reported_is_not_shown)
{
    std::string text = entry_text;
    text.replace(text.find("a-peer-key-of-more-than-32-letters"), 34,
                 "hunter2");
    std::string const message(
        parse_entry_settings(text, "bad").status().message());
    cr_assert_neq(message.find("peer_key"), std::string::npos);
    cr_assert_eq(message.find("hunter2"), std::string::npos);
}

Test(settings, pipelining_when_parsed_gives_its_values)
{
    absl::StatusOr<entry_settings> const value =
        parse_entry_settings(entry_text, "entry.jsonc");
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    cr_assert_eq(value->pipelining.max_requests, 16U);
    cr_assert_eq(value->pipelining.max_answer_bytes, 32768U);
}

// A host whose settings do not name pipelining must serve one request of a
// connection after the other.
Test(settings, pipelining_when_absent_is_off)
{
    std::string text = entry_text;
    std::string const part = ",\n  \"pipelining\": {\"max_requests\": 16, "
                             "\"max_answer_bytes\": 32768}";
    std::size_t const place = text.find(part);
    cr_assert_neq(place, std::string::npos);
    text.erase(place, part.size());
    absl::StatusOr<entry_settings> const value =
        parse_entry_settings(text, "entry.jsonc");
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    cr_assert_eq(value->pipelining.max_requests, 1U);
    cr_assert_eq(value->pipelining.max_answer_bytes, 65536U);
}

// A host whose settings do not name the wait must not take the first revision
// that it hears, which may come from a control host that is cut off.
Test(settings, first_revision_wait_when_given_or_absent_has_its_value)
{
    absl::StatusOr<entry_settings> const without =
        parse_entry_settings(entry_text, "entry.jsonc");
    cr_assert(without.ok(), "%s", without.status().ToString().c_str());
    cr_expect(without->first_revision_wait == std::chrono::milliseconds(400));
    std::string text = entry_text;
    text.insert(text.find("\"name\""), "\"first_revision_wait_ms\": 0, ");
    absl::StatusOr<entry_settings> const value =
        parse_entry_settings(text, "entry.jsonc");
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    cr_expect(value->first_revision_wait == bilberrylead::duration::zero());
}
