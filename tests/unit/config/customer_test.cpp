#include "bilberrylead/config/check.hpp"
#include "bilberrylead/config/configuration_change.hpp"
#include "bilberrylead/config/delta.hpp"
#include "bilberrylead/config/diff.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/error.hpp"
#include "tests/unit/config/configuration_text.hpp"

#include <fmt/format.h>

#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::config;

namespace
{

std::string const secret = "k7wq2m-very-secret";

std::string text_with_customers(std::string const& customers)
{
    return valid_text_with(
        "\"callers\": [",
        R"("request_routes": [{"host": "h", "path_prefix": "/",)"
        R"( "targets": [{"service": "lyrics", "weight": 1}]}],)"
        R"( "customers": )" +
            customers + R"(, "callers": [)");
}

absl::Status status_of(std::string const& customers)
{
    absl::StatusOr<configuration> const value =
        parse_configuration(text_with_customers(customers), "customers.jsonc");
    return value.ok() ? check(*value) : value.status();
}

struct faulty_customers
{
    std::string customers;
    error_kind kind;
    std::string message;
};

configuration many_customers(int count)
{
    configuration value = valid_configuration();
    for (int number = 0; number < count; ++number)
    {
        customer each;
        each.id = customer_id(fmt::format("customer-{:05}", number));
        for (int key = 0; key < 3; ++key)
        {
            each.keys.push_back(fmt::format("key-{:05}-{}", number, key));
        }
        value.customers.push_back(each);
    }
    return value;
}

} // namespace

Test(customers, valid_customers_when_read_keep_their_fields)
{
    absl::StatusOr<configuration> const value = parse_configuration(
        text_with_customers(
            R"([{"name": "c1", "keys": ["a", "b"], "requests_in_1000_s": 2500,)"
            R"( "burst": 4, "priority": 1, "regions": ["sao"]}])"),
        "customers.jsonc");
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    cr_assert(check(*value).ok());
    customer const& read = value->customers.at(0);
    cr_expect(read.id == customer_id("c1"));
    cr_expect_eq(read.keys.size(), 2U);
    cr_expect_eq(read.rate, 2500U);
    cr_expect_eq(read.burst, 4U);
    cr_expect_eq(read.priority, 1U);
    cr_expect_eq(read.regions.size(), 1U);
}

// Guards against customers that share a key, against keys that no caller can
// send, and against errors that show a key.
Test(customers, faulty_customers_when_checked_name_the_field_and_hide_the_key)
{
    std::string const quoted = "\"" + secret + "\"";
    std::vector<faulty_customers> const rows = {
        {"[{\"name\": \"a\", \"keys\": [" + quoted +
             "]}, {\"name\": \"b\", \"keys\": [" + quoted + "]}]",
         error_kind::duplicate_name,
         "customers \"b\".keys: Customer \"a\" holds one of its keys."},
        {R"([{"name": "a"}, {"name": "a"}])", error_kind::duplicate_name,
         "customers: \"a\" is defined twice."},
        {"[{\"keys\": [" + quoted + "]}]", error_kind::missing_field,
         "customers[0].name"},
        {"[{\"name\": \"a\", \"keys\": [\"" + secret + " x\"]}]",
         error_kind::bad_value,
         "customers[0].keys[0]: The key has characters that no header"},
        {R"([{"name": "a", "keys": [""]}])", error_kind::bad_value,
         "customers[0].keys[0]: The key has 0 characters."},
        {"[{\"name\": \"a\", \"keys\": [\"" + std::string(1025, 'k') + "\"]}]",
         error_kind::bad_value,
         "customers[0].keys[0]: The key has 1025 characters."},
        {R"([{"name": "a", "keys": [7]}])", error_kind::bad_value,
         "customers[0].keys[0]"},
        {R"([{"name": "a", "requests_in_1000_s": -1}])", error_kind::bad_value,
         "customers[0].requests_in_1000_s"},
        {R"([{"name": "a", "requests_in_1000_s": 0.5}])", error_kind::bad_value,
         "customers[0].requests_in_1000_s"},
        {R"([{"name": "a", "burst": 1000000001}])", error_kind::bad_value,
         "customers[0].burst: 1000000001 is out of range."},
        {R"([{"name": "a", "regions": ["soa"]}])", error_kind::unknown_name,
         "customers \"a\".regions: \"soa\" is not among regions"},
        {"[{\"name\": \"a\", \"keys\": [\"" + secret, error_kind::syntax,
         "Not JSON with comments"}};
    for (faulty_customers const& row : rows)
    {
        absl::Status const status = status_of(row.customers);
        std::string const message(status.message());
        cr_expect(kind_of(status) == row.kind, "%s: %s", row.customers.c_str(),
                  message.c_str());
        cr_expect_neq(message.find(row.message), std::string::npos,
                      "expected: %s\ngot: %s", row.message.c_str(),
                      message.c_str());
        cr_expect_eq(message.find(secret), std::string::npos, "%s",
                     message.c_str());
    }
}

// Guards against customers whose keys are never asked for.
Test(customers, customers_without_routes_when_checked_are_an_error)
{
    configuration value = valid_configuration();
    value.customers.push_back({customer_id("a"), {"k"}, 0, 0, 0, {}});
    cr_expect(kind_of(check(value)) == error_kind::missing_field);
}

// Guards against a change of one key that sends all customers again.
Test(customers, one_key_changed_among_10000_customers_is_a_small_delta)
{
    configuration const before = many_customers(10'000);
    configuration after = before;
    after.customers[5000].keys[1] = "another-key";
    bytes const delta = make_delta(before, after);
    cr_expect_leq(delta.size(), std::size_t{400});
    absl::StatusOr<configuration> const applied = apply_delta(before, delta);
    cr_assert(applied.ok());
    cr_expect(*applied == after);
}

// Guards against keys in what operators and the audit trail see.
Test(customers, differing_keys_when_compared_are_shown_as_digests)
{
    configuration const before = many_customers(1);
    configuration after = before;
    after.customers[0].keys = {secret};
    std::string const text = to_text(diff(before, after));
    cr_expect_eq(text.find(secret), std::string::npos, "%s", text.c_str());
    cr_expect_eq(text.find("key-0"), std::string::npos, "%s", text.c_str());
    cr_expect_neq(text.find("~ customers customer-00000: keys [\"#"),
                  std::string::npos, "%s", text.c_str());
}
