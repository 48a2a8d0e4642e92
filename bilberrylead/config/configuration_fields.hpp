#ifndef BILBERRYLEAD_CONFIG_CONFIGURATION_FIELDS_HPP
#define BILBERRYLEAD_CONFIG_CONFIGURATION_FIELDS_HPP

#include "bilberrylead/config/configuration.hpp"

#include <array>
#include <chrono>
#include <concepts>
#include <string_view>
#include <type_traits>

/// The fields of a configuration by name and range, described once for
/// reading, writing, checking and comparing: what one of them knows, all of
/// them know. A visitor has `required`, `optional`, `choice`, `number`,
/// `time` and `list`; see field_reader.
namespace bilberrylead::config
{

/// True for Record and Record const.
template <class Value, class Record>
concept maybe_const = std::same_as<std::remove_const_t<Value>, Record>;

/// Names of the work lengths, in the order of work_length.
inline constexpr std::array<std::string_view, 2> work_length_names = {
    "brief", "extended"};

/// A day; longer waits are slips of the unit.
inline constexpr std::chrono::milliseconds longest_time =
    std::chrono::hours(24);

/// Fields of a service.
template <class Visitor, maybe_const<service> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    using std::chrono::milliseconds;
    visitor.required("name", value.id);
    visitor.optional("labels", value.labels);
    visitor.optional("idempotent", value.idempotent);
    visitor.optional("guarded", value.guarded);
    visitor.choice("length", value.length, work_length_names);
    visitor.time("deadline_ms", value.deadline, milliseconds(1), longest_time);
    visitor.time("progress_timeout_ms", value.progress_timeout, milliseconds(1),
                 longest_time);
    visitor.number("largest_request_bytes", value.largest_request,
                   {0, std::uint64_t{1} << 40U});
    visitor.time("cold_time_ms", value.cold_time, milliseconds(0),
                 longest_time);
    visitor.number("cold_requests_in_1000_s", value.cold_rate,
                   {0, 1'000'000'000});
}

/// Fields of a route's target.
template <class Visitor, maybe_const<route_target> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    visitor.required("service", value.service);
    visitor.number("weight", value.weight, {0, 1'000'000});
}

/// Fields of a request route.
template <class Visitor, maybe_const<request_route> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    using std::chrono::milliseconds;
    visitor.required("host", value.host);
    visitor.required("path_prefix", value.path_prefix);
    visitor.optional("idempotent", value.idempotent);
    visitor.optional("transfer", value.transfer);
    visitor.list("targets", value.targets);
    visitor.time("timeout_ms", value.timeout, milliseconds(1), longest_time);
    visitor.time("aim_ms", value.aim, milliseconds(1), longest_time);
    visitor.number("most_attempts", value.most_attempts, {1, 1000});
    visitor.number("priority", value.priority, {0, 1000});
    visitor.optional("object_affinity", value.object_affinity);
    visitor.optional("public", value.is_public);
    visitor.optional("regions", value.regions);
}

/// Fields of a customer.
template <class Visitor, maybe_const<customer> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    visitor.required("name", value.id);
    visitor.secrets("keys", value.keys);
    visitor.number("requests_in_1000_s", value.rate, {0, 1'000'000'000'000});
    visitor.number("burst", value.burst, {0, 1'000'000'000});
    visitor.number("priority", value.priority, {0, 1000});
    visitor.optional("regions", value.regions);
}

/// Fields of what callers may send.
template <class Visitor, maybe_const<caller_limits> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    using std::chrono::milliseconds;
    visitor.number("header_bytes", value.header_bytes,
                   {256, std::uint64_t{1} << 24U});
    visitor.number("body_bytes", value.body_bytes,
                   {0, std::uint64_t{1} << 40U});
    visitor.time("header_timeout_ms", value.header_timeout, milliseconds(1),
                 longest_time);
    visitor.time("idle_timeout_ms", value.idle_timeout, milliseconds(1),
                 longest_time);
}

/// Fields of a place.
template <class Visitor, maybe_const<place> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    visitor.required("zone", value.zone);
    visitor.required("region", value.region);
    visitor.optional("labels", value.labels);
}

/// Fields of a link between regions.
template <class Visitor, maybe_const<region_link> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    using std::chrono::microseconds;
    visitor.required("from", value.from);
    visitor.required("to", value.to);
    visitor.time("latency_us", value.latency, microseconds(0),
                 microseconds(std::chrono::minutes(1)));
    visitor.number("capacity", value.capacity, {0, 1'000'000'000});
}

/// Fields of an entry host.
template <class Visitor, maybe_const<entry_host> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    visitor.required("name", value.id);
    visitor.required("zone", value.zone);
    visitor.required("address", value.address);
    visitor.required("peer_address", value.peer_address);
    visitor.optional("labels", value.labels);
    visitor.number("weight", value.weight, {0, 1'000'000});
    visitor.optional("leaving", value.leaving);
}

/// Fields of an upstream.
template <class Visitor, maybe_const<upstream> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    visitor.required("name", value.id);
    visitor.required("service", value.service);
    visitor.required("zone", value.zone);
    visitor.required("address", value.address);
    visitor.optional("labels", value.labels);
    visitor.number("slots", value.slots, {1, 100'000});
    visitor.number("connections", value.connections, {1, 1'000'000});
    visitor.optional("leaving", value.leaving);
}

/// Fields of a selector.
template <class Visitor, maybe_const<selector> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    visitor.required("name", value.name);
    visitor.required("service", value.service);
    visitor.optional("callers", value.callers);
    visitor.optional("upstreams", value.upstreams);
}

/// Fields of a block of callers.
template <class Visitor, maybe_const<caller_block> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    visitor.required("block", value.block);
    visitor.required("zone", value.zone);
    visitor.optional("labels", value.labels);
}

/// Fields of a whole configuration.
template <class Visitor, maybe_const<configuration> Value>
void visit_fields(Visitor& visitor, Value& value)
{
    visitor.number("shift_cap", value.shift_cap, {1, 1000});
    visitor.list("services", value.services);
    visitor.list("places", value.places);
    visitor.list("links", value.links);
    visitor.list("entry_hosts", value.entry_hosts);
    visitor.list("upstreams", value.upstreams);
    visitor.list("selectors", value.selectors);
    visitor.list("callers", value.callers);
    visitor.list("request_routes", value.request_routes);
    visitor.list("customers", value.customers);
    visitor.section("limits", value.limits);
}

} // namespace bilberrylead::config

#endif
