#ifndef BILBERRYLEAD_CONFIG_SETTINGS_FIELDS_HPP
#define BILBERRYLEAD_CONFIG_SETTINGS_FIELDS_HPP

#include "bilberrylead/config/configuration_fields.hpp"
#include "bilberrylead/config/control_settings.hpp"
#include "bilberrylead/config/entry_settings.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

/// The fields of the daemons' settings by name and range.
namespace bilberrylead::config
{

/// About thirty years: any time that a platform may state, and far from where
/// its sum with a clock would overflow.
inline constexpr std::chrono::seconds longest_setting{1'000'000'000};

/// The largest bound that makes sense to count with; beyond it a value is a
/// slip, not a bound.
inline constexpr double most_bound = 1e12;

/// Losses beyond any number of hosts: the group is as large as it may be.
inline constexpr std::uint64_t most_losses = 1'000'000'000;

/// Names of the log levels, in the order of log_level.
inline constexpr std::array<std::string_view, 4> log_level_names = {
    "debug", "info", "warning", "error"};

/// Fields of another host's address.
template <class Visitor>
void visit_fields(Visitor& visitor, host_address& value)
{
    visitor.required("name", value.id);
    visitor.required("address", value.address);
}

/// Fields of an operator.
template <class Visitor>
void visit_fields(Visitor& visitor, operator_key& value)
{
    visitor.required("name", value.name);
    visitor.secret("key", value.key);
}

/// Fields of an entry host's limits.
template <class Visitor>
void visit_fields(Visitor& visitor, entry_limits& value)
{
    using std::chrono::hours;
    using std::chrono::milliseconds;
    visitor.number("connections", value.connections, {1, 1'000'000});
    visitor.number("requests", value.requests, {1, 1'000'000});
    visitor.number("buffer_bytes", value.buffer_bytes, {1'024, 16'777'216});
    visitor.number("header_bytes", value.header_bytes, {256, 1'048'576});
    visitor.time("header_timeout_ms", value.header_timeout, milliseconds(1),
                 milliseconds(hours(1)));
    visitor.time("progress_timeout_ms", value.progress_timeout, milliseconds(1),
                 milliseconds(hours(1)));
    visitor.time("idle_timeout_ms", value.idle_timeout, milliseconds(1),
                 milliseconds(hours(1)));
}

/// Names of where requests wait, in the order of waiting_place.
inline constexpr std::array<std::string_view, 2> waiting_place_names = {
    "entry_host", "upstream"};

/// Names of where objects have their homes, in the order of object_homes.
inline constexpr std::array<std::string_view, 2> object_homes_names = {"region",
                                                                       "zone"};
/// Names of how requests are admitted, in the order of admission_mode.
inline constexpr std::array<std::string_view, 3> admission_mode_names = {
    "none", "by_rank", "by_plan"};

/// Names of whom the operators' port trusts, in the order of operator_trust.
inline constexpr std::array<std::string_view, 2> operator_trust_names = {
    "by_key", "by_network"};

/// Fields of how far an entry host works ahead on a connection.
template <class Visitor>
void visit_fields(Visitor& visitor, pipelining_limits& value)
{
    visitor.number("max_requests", value.max_requests, {1, 256});
    visitor.number("max_answer_bytes", value.max_answer_bytes,
                   {1'024, 16'777'216});
}

/// Fields of what may be sent beyond first tries.
template <class Visitor>
void visit_fields(Visitor& visitor, retry_bounds& value)
{
    visitor.fraction("ratio", value.ratio, 0, most_bound);
    visitor.fraction("slack", value.slack, 0, most_bound);
}

/// Fields of what may be sent to a cold upstream.
template <class Visitor>
void visit_fields(Visitor& visitor, cold_bounds& value)
{
    visitor.fraction("factor", value.factor, 0, most_bound);
    visitor.fraction("slack", value.slack, 0, most_bound);
}

/// Fields of what may be accepted of a customer.
template <class Visitor>
void visit_fields(Visitor& visitor, customer_limit_bounds& value)
{
    visitor.seconds(
        "window_s", value.window,
        std::chrono::duration_cast<duration>(std::chrono::hours(1)));
    visitor.fraction("overshoot", value.overshoot, 0, most_bound);
    visitor.fraction("slack", value.slack, 0, most_bound);
}

/// Fields of what the group of control hosts must bear.
template <class Visitor>
void visit_fields(Visitor& visitor, group_losses& value)
{
    visitor.number("hosts", value.hosts, {0, most_losses});
    visitor.number("zones", value.zones, {0, most_losses});
    visitor.number("regions", value.regions, {0, most_losses});
}

/// Fields of a control host's settings.
template <class Visitor>
void visit_fields(Visitor& visitor, control_settings& value)
{
    visitor.required("name", value.id);
    visitor.required("zone", value.zone);
    visitor.required("region", value.region);
    visitor.required("data_folder", value.data_folder);
    visitor.required("peer_listen", value.peer_listen);
    visitor.required("operator_listen", value.operator_listen);
    visitor.required("metrics_listen", value.metrics_listen);
    visitor.list("control_hosts", value.control_hosts);
    visitor.secret("peer_key", value.peer_key);
    visitor.list("operators", value.operators);
    visitor.choice("log_level", value.lowest_log_level, log_level_names);
    visitor.optional("seeds", value.seeds);
    visitor.optional("forms_group", value.forms_group);
    visitor.optional("first_start", value.first_start);
    visitor.section("losses", value.losses);
    visitor.optional("steering_listen", value.steering_listen);
    visitor.seconds("steering_ttl_s", value.steering_ttl, longest_setting);
    visitor.list("places", value.places);
    visitor.optional("upstream_list", value.upstream_list);
    visitor.fraction("upstream_list_calls_per_s", value.upstream_list_calls, 0,
                     most_bound);
    visitor.seconds("leaving_bound_s", value.leaving_bound, longest_setting);
    visitor.time("confirmation_wait_ms", value.confirmation_wait,
                 std::chrono::milliseconds(0),
                 std::chrono::milliseconds(60'000));
    visitor.choice("trust", value.trust, operator_trust_names);
    visitor.choice("admission", value.admission, admission_mode_names);
}

/// Fields of an entry host's settings.
template <class Visitor>
void visit_fields(Visitor& visitor, entry_settings& value)
{
    visitor.required("name", value.id);
    visitor.required("zone", value.zone);
    visitor.required("region", value.region);
    visitor.required("caller_listen", value.caller_listen);
    visitor.required("peer_listen", value.peer_listen);
    visitor.required("metrics_listen", value.metrics_listen);
    visitor.list("control_hosts", value.control_hosts);
    visitor.list("neighbours", value.neighbours);
    visitor.secret("peer_key", value.peer_key);
    visitor.section("limits", value.limits);
    visitor.choice("log_level", value.lowest_log_level, log_level_names);
    visitor.optional("readiness_listen", value.readiness_listen);
    visitor.optional("seeds", value.seeds);
    visitor.optional("forms_group", value.forms_group);
    visitor.list("places", value.places);
    visitor.seconds("region_latency_s", value.region_latency, longest_setting);
    visitor.seconds("stop_time_s", value.stop_time, longest_setting);
    visitor.seconds("steering_ttl_s", value.steering_ttl, longest_setting);
    visitor.section("retries", value.retries);
    visitor.section("customer_limits", value.customer_limits);
    visitor.section("cold", value.cold);
    visitor.fraction("link_mbit_per_s", value.link_rate, 0, most_bound);
    visitor.choice("waiting", value.waiting, waiting_place_names);
    visitor.choice("object_homes", value.homes, object_homes_names);
    visitor.time("zone_crossing_cost_ms", value.zone_crossing_cost,
                 std::chrono::milliseconds(0), std::chrono::milliseconds(1000));
    visitor.number("remembered_objects", value.remembered_objects, {1, 10'000});
    visitor.choice("admission", value.admission, admission_mode_names);
    visitor.section("pipelining", value.pipelining);
    visitor.time("first_revision_wait_ms", value.first_revision_wait,
                 std::chrono::milliseconds(0), std::chrono::milliseconds(5000));
}

} // namespace bilberrylead::config

#endif
