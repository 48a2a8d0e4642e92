#include "bilberrylead/daemon/control_metrics.hpp"

#include "bilberrylead/control/control_reducer.hpp"
#include "bilberrylead/daemon/control_store.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

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
    prometheus::Counter& syncs = prometheus::BuildCounter()
                                     .Name("bilberry_control_syncs_total")
                                     .Help("Syncs of the data folder.")
                                     .Register(this->registry)
                                     .Add({});
};

control_metrics::control_metrics() : impl(std::make_unique<implementation>())
{
}

control_metrics::~control_metrics() = default;

void control_metrics::count_sync()
{
    this->impl->syncs.Increment();
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
