#include "bilberrylead/daemon/control_metrics.hpp"

#include "bilberrylead/control/control_reducer.hpp"
#include "bilberrylead/daemon/control_store.hpp"
#include "bilberrylead/discovery/listing_delivery.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>

namespace bilberrylead::daemon
{

namespace
{

prometheus::Gauge& add_gauge(prometheus::Registry& registry, char const* name,
                             char const* help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

prometheus::Counter& add_counter(prometheus::Registry& registry,
                                 char const* name, char const* help)
{
    return prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

/// Upper bounds of the buckets of the histograms of listings, seconds.
prometheus::Histogram::BucketBoundaries const listing_bounds = {
    0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0};

prometheus::Histogram& add_histogram(prometheus::Registry& registry,
                                     char const* name, char const* help)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({}, listing_bounds);
}

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

/// The registry and what is in it.
struct control_metrics::implementation
{
    prometheus::Registry registry;
    prometheus::Gauge& leads = add_gauge(
        this->registry, "bilberry_control_leads", "1 if this host leads.");
    prometheus::Gauge& term =
        add_gauge(this->registry, "bilberry_control_term", "Latest term.");
    prometheus::Gauge& commit_index =
        add_gauge(this->registry, "bilberry_control_commit_index",
                  "Highest committed index of the log.");
    prometheus::Gauge& accepted =
        add_gauge(this->registry, "bilberry_control_revision",
                  "Accepted revision known here.");
    prometheus::Gauge& claims =
        add_gauge(this->registry, "bilberry_control_claims",
                  "Run-at-most-once records held.");
    prometheus::Gauge& crash_records =
        add_gauge(this->registry, "bilberry_control_crash_records",
                  "Requests under which upstreams ended, held now.");
    prometheus::Gauge& journal_bytes =
        add_gauge(this->registry, "bilberry_control_journal_bytes",
                  "Size of the journal file, bytes.");
    prometheus::Counter& syncs =
        add_counter(this->registry, "bilberry_control_syncs_total",
                    "Syncs of the data folder.");
    prometheus::Counter& failed_list_calls =
        add_counter(this->registry, "bilberry_control_failed_list_calls_total",
                    "Calls to the list of upstreams that failed.");
    prometheus::Counter& unconfirmed_listings = add_counter(
        this->registry, "bilberry_control_unconfirmed_listings_total",
        "Entry hosts that had not confirmed a listing when the next was sent.");
    prometheus::Histogram& change_age =
        add_histogram(this->registry, "bilberry_control_listing_age_seconds",
                      "Longest time for which the list may have shown a change "
                      "before it was sent to the entry hosts.");
    prometheus::Histogram& delivery = add_histogram(
        this->registry, "bilberry_control_listing_delivery_seconds",
        "Time from the sending of a listing to its last confirmation.");
};

control_metrics::control_metrics() : impl(std::make_unique<implementation>())
{
}

control_metrics::~control_metrics() = default;

void control_metrics::count_sync()
{
    this->impl->syncs.Increment();
}

void control_metrics::count_failed_list_call()
{
    this->impl->failed_list_calls.Increment();
}

void control_metrics::count_listing(control::listing_changed const& listing)
{
    if (listing.max_age.has_value())
    {
        this->impl->change_age.Observe(seconds_of(*listing.max_age));
    }
}

void control_metrics::count_delivery(discovery::delivery_report const& report)
{
    this->impl->delivery.Observe(seconds_of(report.slowest_time));
    this->impl->unconfirmed_listings.Increment(
        static_cast<double>(report.hosts - report.confirmed));
}

std::string control_metrics::text(control::control_reducer const& reducer,
                                  control_store const& store)
{
    agreement::replica const& log = reducer.log();
    catalog::replicated_state const& state = reducer.state();
    this->impl->leads.Set(log.role() == agreement::role::leader ? 1 : 0);
    this->impl->term.Set(static_cast<double>(log.term()));
    this->impl->commit_index.Set(static_cast<double>(log.commit_index()));
    this->impl->accepted.Set(
        static_cast<double>(state.configurations().current_revision()));
    this->impl->claims.Set(static_cast<double>(state.claims().size()));
    this->impl->crash_records.Set(
        static_cast<double>(reducer.crash_records().size()));
    this->impl->journal_bytes.Set(static_cast<double>(store.journal_bytes()));
    return prometheus::TextSerializer().Serialize(
        this->impl->registry.Collect());
}

} // namespace bilberrylead::daemon
