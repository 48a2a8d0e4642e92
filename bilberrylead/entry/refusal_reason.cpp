#include "bilberrylead/entry/refusal_reason.hpp"

#include <array>

namespace bilberrylead::entry
{

namespace
{

constexpr std::array<std::string_view, refusal_reason_count> names = {
    "not-ready",         "unknown-service",
    "key-missing",       "key-mismatch",
    "in-progress",       "no-upstream",
    "no-room",           "caller-share",
    "deadline",          "claim-refused",
    "connect-failed",    "upstream-refused",
    "connection-lost",   "upstream-silent",
    "earlier-unknown",   "no-memory",
    "crashes-upstreams", "unknown-customer",
    "over-limit",        "no-common-region",
    "upstreams-resting", "other-configuration",
    "body-incomplete",   "stopping"};

} // namespace

std::string_view to_string(refusal_reason reason)
{
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace bilberrylead::entry
