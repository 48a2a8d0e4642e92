#include "bilberrylead/daemon/entry_metrics.hpp"

#include "bilberrylead/entry/entry_counters.hpp"
#include "bilberrylead/entry/refusal_reason.hpp"
#include "bilberrylead/http/caller_server.hpp"
#include "bilberrylead/http/http_counters.hpp"
#include "bilberrylead/policy/crash_history.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <initializer_list>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::daemon
{

namespace
{

using label = prometheus::ClientMetric::Label;
using label_list = std::vector<label>;

constexpr double milliseconds_per_second = 1000.0;

/// Families are made anew from the counters at each collection: the
/// counters are the truth, and the hot path never touches the registry.
class family_builder
{
public:
    void start(char const* name, char const* help, prometheus::MetricType type)
    {
        prometheus::MetricFamily family;
        family.name = name;
        family.help = help;
        family.type = type;
        this->families.push_back(std::move(family));
    }

    prometheus::ClientMetric& add(label_list labels = {})
    {
        prometheus::ClientMetric metric;
        metric.label = std::move(labels);
        this->families.back().metric.push_back(std::move(metric));
        return this->families.back().metric.back();
    }

    void gauge(char const* name, char const* help, double value)
    {
        this->start(name, help, prometheus::MetricType::Gauge);
        this->add().gauge.value = value;
    }

    void counter(char const* name, char const* help, std::uint64_t value)
    {
        this->start(name, help, prometheus::MetricType::Counter);
        this->add().counter.value = static_cast<double>(value);
    }

    std::vector<prometheus::MetricFamily> families;
};

/// Adds a count for each value of one label; the other labels are the same.
void add_counts(
    family_builder& builder, label_list const& others, char const* varied,
    std::initializer_list<std::pair<char const*, std::uint64_t>> counts)
{
    for (std::pair<char const*, std::uint64_t> const& each : counts)
    {
        label_list labels = others;
        labels.push_back({varied, each.first});
        builder.add(std::move(labels)).counter.value =
            static_cast<double>(each.second);
    }
}

void add_requests(family_builder& builder,
                  entry::entry_counters const& counters)
{
    builder.start("bilberry_entry_requests_total",
                  "Final answers by service and outcome.",
                  prometheus::MetricType::Counter);
    for (std::pair<service_id const, entry::service_counters> const& row :
         counters.services)
    {
        add_counts(builder, {{"service", row.first.text()}}, "outcome",
                   {{"done", row.second.done},
                    {"not_run", row.second.not_run},
                    {"unknown", row.second.unknown},
                    {"problem", row.second.problems},
                    {"recorded", row.second.recorded},
                    {"caller_gone", row.second.callers_gone}});
    }
}

void add_crossings(family_builder& builder,
                   entry::entry_counters const& counters)
{
    builder.start("bilberry_entry_crossed_responses_total",
                  "Responses of upstreams in another zone, by service and "
                  "whether the zone is in this host's region.",
                  prometheus::MetricType::Counter);
    for (std::pair<service_id const, entry::service_counters> const& row :
         counters.services)
    {
        add_counts(builder, {{"service", row.first.text()}}, "between",
                   {{"zones", row.second.crossed_zones},
                    {"regions", row.second.crossed_regions}});
    }
}

/// One row for each service, if homes may be in the zone.
void add_home_scopes(family_builder& builder,
                     entry::entry_counters const& counters)
{
    builder.start("bilberry_entry_zone_homes",
                  "1 while the service's objects have their homes in this "
                  "host's zone.",
                  prometheus::MetricType::Gauge);
    for (std::pair<service_id const, entry::service_counters> const& row :
         counters.services)
    {
        if (row.second.distinct_objects.has_value())
        {
            builder.add({{"service", row.first.text()}}).gauge.value =
                row.second.has_zone_homes ? 1 : 0;
        }
    }
    builder.start("bilberry_entry_distinct_objects",
                  "Estimated number of different objects requested lately.",
                  prometheus::MetricType::Gauge);
    for (std::pair<service_id const, entry::service_counters> const& row :
         counters.services)
    {
        if (row.second.distinct_objects.has_value())
        {
            builder.add({{"service", row.first.text()}}).gauge.value =
                *row.second.distinct_objects;
        }
    }
}

void add_latency(family_builder& builder, entry::entry_counters const& counters)
{
    builder.start("bilberry_entry_request_seconds",
                  "Time from a request's arrival to its answer's start, "
                  "seconds.",
                  prometheus::MetricType::Histogram);
    for (std::pair<service_id const, entry::service_counters> const& row :
         counters.services)
    {
        prometheus::ClientMetric& metric =
            builder.add({{"service", row.first.text()}});
        std::uint64_t seen = 0;
        for (std::size_t bucket = 0; bucket < row.second.latency.size();
             ++bucket)
        {
            seen += row.second.latency.at(bucket);
            double bound = std::numeric_limits<double>::infinity();
            if (bucket < entry::service_counters::bounds_ms.size())
            {
                bound = entry::service_counters::bounds_ms.at(bucket) /
                        milliseconds_per_second;
            }
            metric.histogram.bucket.push_back({seen, bound});
        }
        metric.histogram.sample_count = seen;
        metric.histogram.sample_sum =
            std::chrono::duration<double>(row.second.latency_sum).count();
    }
}

void add_refusals(family_builder& builder,
                  entry::entry_counters const& counters)
{
    builder.start("bilberry_entry_refusals_total",
                  "Final answers that were not the upstream's, by reason.",
                  prometheus::MetricType::Counter);
    for (std::size_t reason = 0; reason < counters.refusals.size(); ++reason)
    {
        builder
            .add({{"reason", std::string(to_string(
                                 static_cast<entry::refusal_reason>(reason)))}})
            .counter.value = static_cast<double>(counters.refusals.at(reason));
    }
}

/// Customers with a label of their own; all others share one, so that the
/// number of series stays small.
constexpr std::size_t max_labelled_customers = 10;

void add_over_limit(family_builder& builder,
                    entry::entry_counters const& counters)
{
    builder.start("bilberry_entry_over_limit_total",
                  "Requests refused because their customer was over its "
                  "limit; \"\" stands for all customers but the largest.",
                  prometheus::MetricType::Counter);
    std::vector<std::pair<std::uint64_t, customer_id>> rows;
    rows.reserve(counters.over_limit.size());
    for (auto const& [customer, refused] : counters.over_limit)
    {
        rows.emplace_back(refused, customer);
    }
    std::sort(rows.begin(), rows.end(), std::greater<>());
    std::uint64_t rest = 0;
    for (std::size_t place = 0; place < rows.size(); ++place)
    {
        if (place >= max_labelled_customers)
        {
            rest += rows[place].first;
            continue;
        }
        builder.add({{"customer", rows[place].second.text()}}).counter.value =
            static_cast<double>(rows[place].first);
    }
    builder.add({{"customer", ""}}).counter.value = static_cast<double>(rest);
}

void add_split_parts(family_builder& builder,
                     entry::entry_counters const& counters)
{
    builder.start("bilberry_entry_split_requests_total",
                  "Requests of split routes by the service that was drawn and "
                  "by outcome.",
                  prometheus::MetricType::Counter);
    for (auto const& [part, row] : counters.split_parts)
    {
        add_counts(builder,
                   {{"route", part.route}, {"service", part.service.text()}},
                   "outcome",
                   {{"answered", row.answered},
                    {"not_run", row.not_run},
                    {"other", row.other}});
    }
}

void add_ranks(family_builder& builder, entry::entry_counters const& counters)
{
    builder.start("bilberry_entry_rank_requests_total",
                  "Requests by service, rank and outcome, while admission is "
                  "by rank or by plan.",
                  prometheus::MetricType::Counter);
    for (auto const& [service, ranks] : counters.ranks)
    {
        for (auto const& [rank, row] : ranks)
        {
            add_counts(
                builder,
                {{"service", service.text()}, {"rank", std::to_string(rank)}},
                "outcome",
                {{"offered", row.offered},
                 {"answered", row.answered},
                 {"late", row.late},
                 {"refused", row.refused}});
        }
    }
}

void add_connections(family_builder& builder,
                     http::http_counters const& counters)
{
    builder.gauge("bilberry_entry_caller_connections",
                  "Callers' connections open now.",
                  static_cast<double>(counters.caller_connections));
    builder.gauge("bilberry_entry_body_bytes", "Bytes of bodies held now.",
                  static_cast<double>(counters.memory_in_use));
    builder.counter("bilberry_entry_bad_requests_total",
                    "Requests that were no valid HTTP, too large or too "
                    "slow.",
                    counters.bad_requests);
    builder.counter("bilberry_entry_answers_cut_total",
                    "Answers that broke off after they had begun.",
                    counters.answers_cut);
    builder.counter("bilberry_entry_paced_pieces_total",
                    "Pieces of long answers that waited for the link.",
                    counters.pieces_paced);
    builder.counter("bilberry_entry_paced_milliseconds_total",
                    "Time that they waited, all together.",
                    static_cast<std::uint64_t>(
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            counters.paced)
                            .count()));
    builder.counter("bilberry_entry_upstream_connections_total",
                    "Connections to upstreams that were opened.",
                    counters.upstream_opened);
    builder.counter("bilberry_entry_upstream_suspects_total",
                    "Kept connections closed because a sibling fell silent.",
                    counters.upstream_suspects_closed);
    builder.counter("bilberry_entry_answers_of_others_total",
                    "Answers that carried another request's id.",
                    counters.answers_of_others);
    builder.counter("bilberry_entry_pipelined_requests_total",
                    "Requests dispatched while an earlier one of their "
                    "connection was unanswered.",
                    counters.pipelined_requests);
    builder.counter("bilberry_entry_answers_held_total",
                    "Answers held in memory until their turn.",
                    counters.answers_held);
    builder.counter("bilberry_entry_held_answers_broken_total",
                    "Held answers that broke off; their callers got a 502.",
                    counters.held_answers_broken);
    builder.gauge("bilberry_entry_held_answer_bytes",
                  "Bytes reserved for held answers now.",
                  static_cast<double>(counters.held_answer_bytes));
    builder.gauge("bilberry_entry_held_answer_bytes_peak",
                  "The most that were reserved for held answers at one time "
                  "since the start.",
                  static_cast<double>(counters.held_answer_bytes_peak));
    builder.counter("bilberry_entry_connections_cut_short_total",
                    "Connections that ended with dispatched requests behind "
                    "the first unanswered one.",
                    counters.connections_cut_short);
    builder.counter("bilberry_entry_load_reports_unreadable_total",
                    "Load reports of upstreams that could not be parsed",
                    counters.load_reports_unreadable);
}

} // namespace

/// What turns families into text.
struct entry_metrics::implementation
{
    prometheus::TextSerializer serializer;
};

entry_metrics::entry_metrics() : impl(std::make_unique<implementation>())
{
}

entry_metrics::~entry_metrics() = default;

std::string entry_metrics::text(http::caller_server const& server,
                                bool control_reachable)
{
    entry::entry_counters const& counters = server.decision_counters();
    family_builder builder;
    builder.gauge("bilberry_entry_ready",
                  "1 while callers are sent to this host.",
                  server.ready() ? 1 : 0);
    builder.gauge("bilberry_entry_revision", "Revision in force.",
                  static_cast<double>(server.revision_in_force()));
    builder.gauge("bilberry_entry_control_reachable",
                  "1 while claims can be had.", control_reachable ? 1 : 0);
    builder.gauge("bilberry_entry_slots_in_use",
                  "Requests that hold an upstream's slot now.",
                  static_cast<double>(counters.slots_in_use));
    builder.gauge("bilberry_entry_waiting",
                  "Requests that wait for a slot now.",
                  static_cast<double>(counters.waiting));
    policy::crash_history const& crashes = server.crash_history();
    builder.gauge("bilberry_entry_crash_records",
                  "Requests under which upstreams ended, held now.",
                  static_cast<double>(crashes.size()));
    builder.gauge("bilberry_entry_crashing_requests",
                  "Those of them that are refused.",
                  static_cast<double>(crashes.refused_count()));
    builder.counter("bilberry_entry_crash_records_evicted_total",
                    "Records that were evicted, since there were too many.",
                    crashes.evicted_count());
    builder.counter("bilberry_entry_limited_requests_total",
                    "Requests sent to upstreams with a limit.",
                    counters.limited_requests);
    builder.counter("bilberry_entry_unreadable_limits_total",
                    "Answers of upstreams with a limit that is no number.",
                    counters.unreadable_limits);
    builder.counter("bilberry_entry_upstream_rests_total",
                    "Rests of upstreams that began or were extended.",
                    counters.rests);
    builder.counter("bilberry_entry_unreadable_rests_total",
                    "Answers 503 of upstreams whose Retry-After is no number "
                    "of seconds.",
                    counters.unreadable_rests);
    builder.gauge("bilberry_entry_resting_upstreams",
                  "Upstreams that get no requests since they asked for a rest.",
                  static_cast<double>(counters.resting_upstreams));
    builder.gauge("bilberry_entry_leaving_upstreams",
                  "Upstreams that get no new requests since they leave.",
                  static_cast<double>(counters.leaving_upstreams));
    builder.gauge("bilberry_entry_upstream_contact_lost",
                  "1 while this host reaches no upstream and passes requests "
                  "on to other entry hosts.",
                  counters.upstream_contact_lost ? 1 : 0);
    builder.counter("bilberry_entry_relayed_requests_total",
                    "Requests that were passed on to other entry hosts.",
                    counters.relayed);
    builder.counter("bilberry_entry_received_relays_total",
                    "Requests that other entry hosts passed on to this one.",
                    counters.received_from_relays);
    builder.counter("bilberry_entry_withdrawn_requests_total",
                    "Requests that were not sent over a new connection since "
                    "their upstream had been excluded while it was made.",
                    counters.withdrawn);
    add_requests(builder, counters);
    add_crossings(builder, counters);
    add_home_scopes(builder, counters);
    add_latency(builder, counters);
    add_refusals(builder, counters);
    add_over_limit(builder, counters);
    add_split_parts(builder, counters);
    add_ranks(builder, counters);
    add_connections(builder, server.connection_counters());
    return this->impl->serializer.Serialize(builder.families);
}

} // namespace bilberrylead::daemon
