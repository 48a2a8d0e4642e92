#include "bilberrylead/daemon/control_metrics.hpp"

#include "bilberrylead/control/control_reducer.hpp"
#include "bilberrylead/daemon/batch_times.hpp"
#include "bilberrylead/daemon/control_store.hpp"
#include "bilberrylead/link/message.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

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

/// No further service is added to the gauges by service and rank once there
/// are so many.
constexpr std::size_t max_admission_gauges = 128;

/// Upper bounds of the buckets of all histograms, seconds.
prometheus::Histogram::BucketBoundaries const time_bounds = {
    0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0};

prometheus::Histogram& add_histogram(prometheus::Registry& registry,
                                     char const* name, char const* help)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({}, time_bounds);
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
    prometheus::Family<prometheus::Counter>& operator_calls =
        prometheus::BuildCounter()
            .Name("bilberry_control_operator_calls_total")
            .Help("Calls of operators by outcome.")
            .Register(this->registry);
    prometheus::Gauge& names_leader =
        add_gauge(this->registry, "bilberry_control_names_leader",
                  "1 if this host knows of a leader.");
    prometheus::Gauge& voters =
        add_gauge(this->registry, "bilberry_control_voters",
                  "Members with a vote, as known here.");
    prometheus::Counter& unconfirmed_listings = add_counter(
        this->registry, "bilberry_control_unconfirmed_listings_total",
        "Entry hosts that had not confirmed a listing when the next was sent.");
    prometheus::Gauge& admission_plans =
        add_gauge(this->registry, "bilberry_control_admission_plans",
                  "Admission plans that this host computed since its start.");
    prometheus::Gauge& admission_plan_bytes = add_gauge(
        this->registry, "bilberry_control_admission_plan_bytes",
        "Size of the region plan with the newest admission plan of this host's "
        "region, as sent.");
    prometheus::Family<prometheus::Gauge>& admission_demand =
        prometheus::BuildGauge()
            .Name("bilberry_control_admission_demand_slots")
            .Help("Demand by service and rank that this host planned for.")
            .Register(this->registry);
    prometheus::Family<prometheus::Gauge>& admission_share =
        prometheus::BuildGauge()
            .Name("bilberry_control_admission_share")
            .Help("Planned admitted share by service and rank, 0 to 1.")
            .Register(this->registry);
    std::vector<prometheus::Gauge*> admission_demands;
    std::vector<prometheus::Gauge*> admission_shares;

    void set_admission(control::control_reducer const& reducer)
    {
        this->admission_plans.Set(
            static_cast<double>(reducer.admission_plans()));
        std::size_t plan_size = 0;
        if (reducer.plan().has_value() && reducer.admission_plan().has_value())
        {
            link::region_plan content = *reducer.plan();
            content.admission = reducer.admission_plan()->shares;
            plan_size = link::encode(content).size();
        }
        this->admission_plan_bytes.Set(static_cast<double>(plan_size));

        // Services and ranks without demand disappear, and all of them once
        // another host leads.
        for (prometheus::Gauge* const each : this->admission_demands)
        {
            this->admission_demand.Remove(each);
        }
        for (prometheus::Gauge* const each : this->admission_shares)
        {
            this->admission_share.Remove(each);
        }
        this->admission_demands.clear();
        this->admission_shares.clear();
        if (reducer.log().role() != agreement::role::leader)
        {
            return;
        }
        for (control::admission_status const& service : reducer.admission())
        {
            if (this->admission_demands.size() >= max_admission_gauges)
            {
                break;
            }
            for (control::admission_rank_status const& each : service.ranks)
            {
                prometheus::Labels const labels = {
                    {"service", service.service.text()},
                    {"rank", std::to_string(each.rank)}};
                this->admission_demands.push_back(
                    &this->admission_demand.Add(labels));
                this->admission_demands.back()->Set(each.demand);
                this->admission_shares.push_back(
                    &this->admission_share.Add(labels));
                this->admission_shares.back()->Set(each.share);
            }
        }
    }

    prometheus::Histogram& change_age =
        add_histogram(this->registry, "bilberry_control_listing_age_seconds",
                      "Longest time for which the list may have shown a change "
                      "before it was sent to the entry hosts.");
    prometheus::Histogram& delivery = add_histogram(
        this->registry, "bilberry_control_listing_delivery_seconds",
        "Time from the sending of a listing to its last confirmation.");
    prometheus::Histogram& confirmations =
        add_histogram(this->registry, "bilberry_control_confirmation_seconds",
                      "Time from the commit of a change to its confirmation.");
    prometheus::Counter& unconfirmed_hosts = add_counter(
        this->registry, "bilberry_control_confirmed_ahead_of_hosts_total",
        "Linked entry hosts in which a change was not in force yet when it was "
        "confirmed to the operator.");
    prometheus::Histogram& revision_delivery = add_histogram(
        this->registry, "bilberry_control_revision_delivery_seconds",
        "Time from the commit of a revision to the last linked entry host that "
        "reports it in force.");
    prometheus::Histogram& times_without_leader =
        add_histogram(this->registry, "bilberry_control_without_leader_seconds",
                      "Time for which this host knew of no leader.");
    prometheus::Histogram& batches = add_histogram(
        this->registry, "bilberry_control_batch_seconds",
        "Time in which a batch of events was handled, messages were queued and "
        "the disk was written.");
    prometheus::Histogram& late_ticks = add_histogram(
        this->registry, "bilberry_control_tick_delay_seconds",
        "Time by which the timer of the replicated log was late.");
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

void control_metrics::count_operator_call(std::string_view outcome)
{
    this->impl->operator_calls.Add({{"outcome", std::string(outcome)}})
        .Increment();
}

void control_metrics::count_listing(control::listing_changed const& listing)
{
    if (listing.max_age.has_value())
    {
        this->impl->change_age.Observe(seconds_of(*listing.max_age));
    }
}

void control_metrics::count_confirmation(
    control::change_confirmed const& change)
{
    this->impl->confirmations.Observe(seconds_of(change.waited));
    this->impl->unconfirmed_hosts.Increment(
        static_cast<double>(change.hosts_behind));
}

void control_metrics::count_delivery(delivery_report<revision> const& report)
{
    this->impl->revision_delivery.Observe(seconds_of(report.slowest_time));
}

void control_metrics::count_time_without_leader(duration time)
{
    this->impl->times_without_leader.Observe(seconds_of(time));
}

void control_metrics::count_delivery(
    discovery::listing_delivery_report const& report)
{
    this->impl->delivery.Observe(seconds_of(report.slowest_time));
    this->impl->unconfirmed_listings.Increment(
        static_cast<double>(report.hosts - report.confirmed));
}

void control_metrics::count_batch(batch_times const& batch)
{
    this->impl->batches.Observe(seconds_of(batch.total()));
}

void control_metrics::count_tick(duration late)
{
    this->impl->late_ticks.Observe(seconds_of(late));
}

std::string control_metrics::text(control::control_reducer const& reducer,
                                  control_store const& store)
{
    agreement::replica const& log = reducer.log();
    catalog::replicated_state const& state = reducer.state();
    this->impl->leads.Set(log.role() == agreement::role::leader ? 1 : 0);
    this->impl->term.Set(static_cast<double>(log.term()));
    this->impl->names_leader.Set(log.leader().empty() ? 0 : 1);
    this->impl->voters.Set(static_cast<double>(log.membership().voters()));
    this->impl->commit_index.Set(static_cast<double>(log.commit_index()));
    this->impl->accepted.Set(
        static_cast<double>(state.configurations().current_revision()));
    this->impl->claims.Set(static_cast<double>(state.claims().size()));
    this->impl->crash_records.Set(
        static_cast<double>(reducer.crash_records().size()));
    this->impl->journal_bytes.Set(static_cast<double>(store.journal_bytes()));
    this->impl->set_admission(reducer);
    return prometheus::TextSerializer().Serialize(
        this->impl->registry.Collect());
}

} // namespace bilberrylead::daemon
