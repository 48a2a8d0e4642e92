#ifndef BILBERRYLEAD_TESTS_UNIT_CONFIG_CONFIGURATION_TEXT_HPP
#define BILBERRYLEAD_TESTS_UNIT_CONFIG_CONFIGURATION_TEXT_HPP

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/parse_configuration.hpp"

#include <absl/status/statusor.h>
#include <criterion/criterion.h>

#include <cstddef>
#include <string>
#include <utility>

/// A small configuration that is valid, with every kind of thing in it.
inline constexpr char const* valid_text = R"({
  // Two zones, one service.
  "shift_cap": 50,
  "services": [{"name": "lyrics", "idempotent": true, "deadline_ms": 800}],
  "places": [{"zone": "mvd-a", "region": "mvd"},
             {"zone": "sao-a", "region": "sao", "labels": {"tier": "two"}}],
  "links": [{"from": "mvd", "to": "sao", "latency_us": 35000}],
  "entry_hosts": [{"name": "e1", "zone": "mvd-a", "address": "127.0.0.1:1",
                   "peer_address": "[::1]:2"}],
  "upstreams": [{"name": "u1", "service": "lyrics", "zone": "mvd-a",
                 "address": "127.0.0.1:3", "labels": {"pool": "karaoke"}},
                {"name": "u2", "service": "lyrics", "zone": "sao-a",
                 "address": "127.0.0.1:4", "slots": 5}],
  "selectors": [{"name": "s1", "service": "lyrics",
                 "callers": {"kind": "app"},
                 "upstreams": {"pool": "karaoke"}}],
  "callers": [{"block": "10.1.0.0/16", "zone": "mvd-a",
               "labels": {"kind": "app"}}]
})";

/// The parsed form of valid_text.
inline bilberrylead::config::configuration valid_configuration()
{
    absl::StatusOr<bilberrylead::config::configuration> result =
        bilberrylead::config::parse_configuration(valid_text, "valid.jsonc");
    cr_assert(result.ok(), "%s", result.status().ToString().c_str());
    return *std::move(result);
}

/// valid_text with one part of it replaced; the part must be there.
inline std::string valid_text_with(std::string const& part,
                                   std::string const& replacement)
{
    std::string text = valid_text;
    std::size_t const position = text.find(part);
    cr_assert_neq(position, std::string::npos, "%s", part.c_str());
    return text.replace(position, part.size(), replacement);
}

#endif
