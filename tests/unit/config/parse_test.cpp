#include "bilberrylead/config/parse_configuration.hpp"

#include "bilberrylead/core/error.hpp"
#include "tests/unit/config/configuration_text.hpp"

#include <chrono>
#include <random>
#include <string>
#include <vector>

using bilberrylead::error_kind;
using bilberrylead::kind_of;
using bilberrylead::config::configuration;
using bilberrylead::config::parse_configuration;
using bilberrylead::config::render_configuration;

namespace
{

/// One bad text: what is replaced in the valid one, and what the error says.
struct bad_text
{
    std::string part;
    std::string replacement;
    error_kind kind;
    std::string message;
};

std::vector<bad_text> const bad_texts = {
    {"\"shift_cap\": 50,", "\"shift_cap\": 50", error_kind::syntax,
     "bad.jsonc: Not JSON with comments: parse error at line 4"},
    {"\"slots\": 5", "\"slots\": \"five\"", error_kind::bad_value,
     "bad.jsonc: upstreams[1].slots: This is string. Write a whole number"},
    {"\"slots\": 5", "\"slots\": -5", error_kind::bad_value,
     "upstreams[1].slots: This is a negative number."},
    {"\"slots\": 5", "\"slots\": 2.5", error_kind::bad_value,
     "upstreams[1].slots: This is a fraction."},
    {"\"slots\": 5", "\"slots\": 0", error_kind::bad_value,
     "upstreams[1].slots: 0 is out of range. Write a whole number from 1"},
    {"\"slots\": 5", "\"slots\": 18446744073709551616", error_kind::bad_value,
     "upstreams[1].slots: This is a fraction."},
    {"\"slots\": 5", "\"slots\": 1e999", error_kind::syntax,
     "Not JSON with comments"},
    {"\"slots\": 5", "\"slot\": 5", error_kind::unknown_field,
     "upstreams[1].slot: This field is not known. Did you mean \"slots\"?"},
    {"\"slots\": 5", "\"qqqqqqqqqqqqq\": 5", error_kind::unknown_field,
     "Take it away; known are: name, service, zone"},
    {"\"slots\": 5", "\"slots\": 5, \"slots\": 6", error_kind::duplicate_name,
     "upstreams[1].slots: The field stands here twice."},
    {"\"name\": \"u1\", ", "", error_kind::missing_field,
     "upstreams[0].name: The field is missing. Add it."},
    {"\"name\": \"u1\"", "\"name\": \"u/1\"", error_kind::bad_value,
     "upstreams[0].name: \"u/1\" is no name."},
    {"127.0.0.1:3", "localhost:3", error_kind::bad_value,
     "upstreams[0].address: \"localhost:3\" is no IP address with a port."},
    {"127.0.0.1:3", "127.0.0.1:65536", error_kind::bad_value,
     "upstreams[0].address"},
    {"127.0.0.1:3", "::1:3", error_kind::bad_value, "upstreams[0].address"},
    {"\"idempotent\": true", "\"idempotent\": 1", error_kind::bad_value,
     "services[0].idempotent: This is number. Write true or false."},
    {"\"deadline_ms\": 800", "\"deadline_ms\": 0", error_kind::bad_value,
     "services[0].deadline_ms: 0 is out of range."},
    {"{\"pool\": \"karaoke\"}},", "{\"pool\": 7}},", error_kind::bad_value,
     "upstreams[0].labels: This is object. Write an object whose values"},
    {"[{\"zone\": \"mvd-a\", \"region\": \"mvd\"},", "[7,",
     error_kind::bad_value, "places[0]: This is number, not an object."},
    {"\"selectors\": [", "\"selectors\": [[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
     error_kind::syntax, "Values nest deeper than 32."},
};

} // namespace

Test(parse, valid_text_when_parsed_gives_its_values)
{
    configuration const value = valid_configuration();
    cr_assert_eq(value.shift_cap, 50U);
    cr_assert_eq(value.upstreams.size(), 2U);
    cr_assert_eq(value.upstreams[0].slots, 3U);
    cr_assert_eq(value.upstreams[1].slots, 5U);
    cr_assert(value.services[0].deadline == std::chrono::milliseconds(800));
    cr_assert(value.links[0].latency == std::chrono::milliseconds(35));
    cr_assert_eq(value.entry_hosts[0].peer_address.address, "::1");
}

Test(parse, valid_text_when_rendered_and_parsed_is_equal)
{
    configuration const value = valid_configuration();
    std::string const text = render_configuration(value);
    absl::StatusOr<configuration> const again =
        parse_configuration(text, "rendered");
    cr_assert(again.ok());
    cr_assert(*again == value);
    cr_assert_eq(render_configuration(*again), text);
}

Test(parse, bad_texts_when_parsed_name_place_fault_and_remedy)
{
    for (bad_text const& row : bad_texts)
    {
        std::string const text = valid_text_with(row.part, row.replacement);
        absl::Status const status =
            parse_configuration(text, "bad.jsonc").status();
        std::string const message(status.message());
        cr_expect(kind_of(status) == row.kind, "%s", message.c_str());
        cr_expect_neq(message.find(row.message), std::string::npos,
                      "expected: %s\ngot: %s", row.message.c_str(),
                      message.c_str());
    }
}

Test(parse, two_faults_when_parsed_are_both_reported)
{
    std::string text = valid_text_with("\"slots\": 5", "\"slots\": 0");
    text.replace(text.find("\"deadline_ms\""), 13, "\"deadlin_ms\"");
    std::string const message(
        parse_configuration(text, "bad.jsonc").status().message());
    cr_assert_neq(message.find("upstreams[1].slots"), std::string::npos);
    cr_assert_neq(message.find("services[0].deadlin_ms"), std::string::npos);
}

Test(parse, thousands_of_faults_when_parsed_are_cut_short)
{
    std::string text = "{\"upstreams\": [";
    for (int count = 0; count < 10'000; ++count)
    {
        text += "{},";
    }
    text += "{}]}";
    std::string const message(
        parse_configuration(text, "bad.jsonc").status().message());
    cr_assert_lt(message.size(), 5'000U);
    cr_assert_neq(message.find("more faults are left out"), std::string::npos);
}

Test(parse, every_truncation_when_parsed_is_an_error)
{
    std::string const text = valid_text;
    for (std::size_t length = 0; length < text.size(); ++length)
    {
        cr_assert_not(parse_configuration(text.substr(0, length), "cut").ok());
    }
}

Test(parse, seeded_mutations_when_parsed_never_throw_and_round_trip)
{
    std::mt19937_64 random(20'261'202);
    for (int round = 0; round < 20'000; ++round)
    {
        std::string text = valid_text;
        std::uint64_t const changes = 1 + random() % 4;
        for (std::uint64_t change = 0; change < changes; ++change)
        {
            std::size_t const position = random() % text.size();
            switch (random() % 3)
            {
            case 0:
                text[position] = static_cast<char>(random() % 256);
                break;
            case 1:
                text.erase(position, random() % 20);
                break;
            default:
                text.insert(position, text.substr(random() % text.size(), 9));
                break;
            }
        }
        absl::StatusOr<configuration> const value =
            parse_configuration(text, "mutated");
        if (value.ok())
        {
            absl::StatusOr<configuration> const again =
                parse_configuration(render_configuration(*value), "again");
            cr_assert(again.ok() && *again == *value, "round %d", round);
        }
    }
}
