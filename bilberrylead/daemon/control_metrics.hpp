#ifndef BILBERRYLEAD_DAEMON_CONTROL_METRICS_HPP
#define BILBERRYLEAD_DAEMON_CONTROL_METRICS_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/listing_delivery.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bilberrylead::control
{
class control_reducer;
struct change_confirmed;
struct listing_changed;
} // namespace bilberrylead::control

namespace bilberrylead::daemon
{

struct batch_times;
class control_store;

/// A control host's metrics, in Prometheus' text format. Names and units
/// stand in docs/OPERATORS.md.
class control_metrics
{
public:
    control_metrics();
    ~control_metrics();
    control_metrics(control_metrics const&) = delete;
    control_metrics& operator=(control_metrics const&) = delete;

    /// Notes one sync of the data folder.
    void count_sync();

    /// Notes a call to the list of upstreams that failed.
    void count_failed_list_call();

    /// Notes an operator's call that was answered, refused, or left to the
    /// leader (`outcome` is the label of the metric).
    void count_operator_call(std::string_view outcome);

    /// Notes a listing that is held from now on.
    void count_listing(control::listing_changed const& listing);

    /// Notes how a listing reached the entry hosts.
    void count_delivery(discovery::listing_delivery_report const& report);

    /// Notes a change that is confirmed to an operator.
    void count_confirmation(control::change_confirmed const& change);

    /// Notes how a revision reached the entry hosts.
    void count_delivery(delivery_report<revision> const& report);

    /// Notes for how long this host knew of no leader.
    void count_time_without_leader(duration time);

    /// Notes what a batch of events took.
    void count_batch(batch_times const& batch);

    /// Notes by how much a timer fired late.
    void count_tick(duration late);

    /// All metrics as of now.
    std::string text(control::control_reducer const& reducer,
                     control_store const& store);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace bilberrylead::daemon

#endif
