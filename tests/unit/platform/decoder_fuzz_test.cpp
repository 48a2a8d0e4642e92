#include "bilberrylead/catalog/accepted_orders.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/policy/generator.hpp"
#include "platform/configuration_reader.hpp"
#include "platform/platform_control_adapter.hpp"

#include <criterion/criterion.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

// Whoever reaches a port, or answers in the list's place, may send any bytes.
// A decoder that throws ends the process; one that accepts half of what was
// sent puts a configuration in force that nobody wrote.

using namespace bilberrylead;

namespace
{

constexpr int rounds = 20000;

std::string const configuration =
    R"({"version":"0000000c","limits":{"max_header_bytes":9000,)"
    R"("idle_timeout_s":15},"listeners":[{"host":"a.example","rules":[)"
    R"({"name":"r1","kind":"safe","target_latency_s":0.25,"priority":2,)"
    R"("sticky_sessions":true,"match":{"path_prefix":"/look/"},)"
    R"("action":{"traffic_split":[{"service":"read","weight":90}],)"
    R"("timeout_s":1.2,"max_attempts":2,"allowed_regions":["north"]}}]}],)"
    R"("clusters":[{"name":"read","cold_start_s":3.0,"cold_per_s":6.2}]})";

std::string const page =
    R"({"instances":{"columns":["service","address","zone","version",)"
    R"("slots","state","cold_remaining_s","id"],"rows":[)"
    R"(["s","10.0.0.9:80","z","v1",3,"ready",0.5,"i-1"],)"
    R"(["s","10.0.0.8:80","z","v1",3,"draining",null,"i-2"]]},)"
    R"("next_token":"p-2"})";

/// What stands in place of a piece: other types, ends and numbers.
constexpr std::array<std::string_view, 14> pieces = {
    "null", "-1",  "1e308", "\"\"", "[]",     "{}",  "true",
    ",",    "\\u", "\xff",  "\"",   "[[[[[[", "0.5", "99999999999999999999"};

/// Cuts, doubles, changes or replaces one place.
std::string mutated(std::string text, policy::generator& random)
{
    std::size_t const place =
        random.below(static_cast<std::uint32_t>(text.size()));
    switch (random.below(4))
    {
    case 0:
        return text.substr(0, place);
    case 1:
        text[place] = static_cast<char>(random.below(256));
        return text;
    case 2:
        return text.insert(place, text.substr(place, random.below(40)));
    default:
        return text.replace(place, random.below(12),
                            pieces.at(random.below(pieces.size())));
    }
}

} // namespace

Test(decoder_fuzz, configuration_is_read_whole_or_refused)
{
    policy::generator random(20261202);
    int refused = 0;
    for (int round = 0; round < rounds; ++round)
    {
        std::string text = mutated(configuration, random);
        if (random.below(3) == 0)
        {
            text = mutated(text.empty() ? configuration : text, random);
        }
        absl::StatusOr<platform::versioned_configuration> const read =
            platform::read_configuration(text);
        if (!read.ok())
        {
            ++refused;
            cr_assert(kind_of(read.status()) == error_kind::syntax ||
                      kind_of(read.status()) == error_kind::bad_value);
        }
    }
    cr_expect_gt(refused, rounds / 2);
}

Test(decoder_fuzz, page_of_the_list_is_read_or_refused)
{
    policy::generator random(20261203);
    for (int round = 0; round < rounds; ++round)
    {
        absl::StatusOr<discovery::list_page> const read =
            platform::platform_control_adapter::read_list_page(
                mutated(page, random));
        if (!read.ok())
        {
            cr_assert(kind_of(read.status()) == error_kind::syntax);
            continue;
        }
        for (discovery::reported_upstream const& told : read->upstreams)
        {
            cr_assert_not(told.upstream.id.empty());
            cr_assert_not(told.upstream.service.empty());
            cr_assert_gt(told.upstream.slots, 0U);
        }
    }
}

Test(decoder_fuzz, orders_on_a_link_are_read_or_refused)
{
    catalog::accepted_orders orders;
    orders.apply(catalog::put_configuration{12, bytes(40, 'x')});
    orders.apply(catalog::close_zone{zone_id("z"), true});
    bytes const whole = orders.encode();
    policy::generator random(20261204);
    for (int round = 0; round < rounds; ++round)
    {
        bytes changed = whole;
        std::size_t const place =
            random.below(static_cast<std::uint32_t>(changed.size()));
        changed[place] = static_cast<std::uint8_t>(random.below(256));
        changed.resize(changed.size() - random.below(3));
        absl::StatusOr<catalog::accepted_orders> const read =
            catalog::accepted_orders::decode(changed);
        cr_assert(read.ok() || kind_of(read.status()) == error_kind::syntax ||
                  kind_of(read.status()) == error_kind::bad_value);
    }
}
