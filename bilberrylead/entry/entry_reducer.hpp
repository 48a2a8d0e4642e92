#ifndef BILBERRYLEAD_ENTRY_ENTRY_REDUCER_HPP
#define BILBERRYLEAD_ENTRY_ENTRY_REDUCER_HPP

#include "bilberrylead/entry/body_rules.hpp"
#include "bilberrylead/entry/customer_index.hpp"
#include "bilberrylead/entry/drain_life_cycle.hpp"
#include "bilberrylead/entry/effect.hpp"
#include "bilberrylead/entry/entry_counters.hpp"
#include "bilberrylead/entry/entry_settings.hpp"
#include "bilberrylead/entry/event.hpp"
#include "bilberrylead/entry/live_request.hpp"
#include "bilberrylead/entry/own_crash.hpp"
#include "bilberrylead/entry/routing_table.hpp"
#include "bilberrylead/entry/service_state.hpp"
#include "bilberrylead/policy/admission_demand.hpp"
#include "bilberrylead/policy/connection_losses.hpp"
#include "bilberrylead/policy/crash_history.hpp"
#include "bilberrylead/policy/crash_report_queue.hpp"
#include "bilberrylead/policy/customer_limits.hpp"
#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/rank_admission.hpp"
#include "bilberrylead/policy/upstream_contact.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberrylead
{
class process_seed;
}

namespace bilberrylead::entry
{

/// Decides for one entry host which upstream runs a request, when the request
/// is retried, and which final answer its caller receives. Pure: the time is
/// passed in, effects are returned as data, and body bytes do not pass through
/// it.
class entry_reducer
{
public:
    /// Creates an entry host without a configuration.
    entry_reducer(entry_settings settings, process_seed const& seed);

    /// Processes one event and returns the effects to perform, in order.
    effects reduce(event const& event, instant now);

    /// True from the time a configuration is in force, and the upstream list
    /// was received if one is used, until a drain begins.
    bool ready() const;

    /// Configuration revision in force; 0 if none.
    bilberrylead::revision revision_in_force() const
    {
        return this->revision;
    }

    /// Index of the configuration in force; null before the first.
    routing_table const* routes() const
    {
        return this->routing.get();
    }

    /// Service by name in the configuration in force; null if there is none.
    config::service const* find_service(service_id const& id) const;

    /// Rules for the body of a request; `service` is the first path segment,
    /// which is used by configurations without routes.
    body_rules body_rules_for(service_id const& service,
                              std::string const& host, std::string_view path,
                              std::string_view customer_key = {}) const;

    /// Limits for callers from the configuration in force; null if the settings
    /// apply.
    config::caller_limits const* caller_limits() const;

    /// Current demand for each service, in slots.
    std::map<service_id, double> demands() const;

    /// Current demand for each service by rank and for the largest customers;
    /// empty unless admission is by plan.
    std::vector<policy::admission_demand> admission_demands() const;

    /// Zones that are currently closed.
    std::set<zone_id> const& closed_zones() const
    {
        return this->closed;
    }

    /// True once a drain has been requested.
    bool draining() const
    {
        return this->drain.current() != drain_state::serving;
    }

    /// Number of requests that have not ended.
    std::size_t requests_in_progress() const
    {
        return this->live_requests.size();
    }

    /// True until the request has ended on this host.
    bool contains(request_number number) const
    {
        return this->live_requests.contains(number);
    }

    /// Crash records of requests, held by this host.
    policy::crash_history const& crash_records() const
    {
        return this->crashes;
    }

    /// False if the upstream receives no requests from this host now, because
    /// it leaves, rests or is no longer there, or because its zone is closed.
    bool accepts_requests(service_id const& service,
                          upstream_id const& upstream) const;

    /// Current counter values.
    entry_counters const& counters();

    /// Settings passed to the constructor.
    entry_settings const& settings() const
    {
        return this->host_settings;
    }

private:
    using timer_entry = std::pair<instant, request_number>;

    void on(configuration_received const& event);
    void on(request_arrived const& event);
    void on(claim_answered const& event);
    void on(completion_stored const& event);
    void on(upstream_signals_received const& event);
    void on(upstream_head_received const& event);
    void on(upstream_answer_finished const& event);
    void on(upstream_failed const& event);
    void on(caller_gone const& event);
    void on(request_body_failed const& event);
    void on(load_reported const& event);
    void on(tick const& event);
    void on(drain_requested const& event);
    void on(control_reachable const& event);
    void on(control_unreachable const& event);
    void on(upstreams_listed const& event);
    void on(entry_hosts_counted const& event);
    void on(regions_planned const& event);
    void on(upstream_probed const& event);
    void on(upstream_connected const& event);
    void on(relay_hosts_received const& event);
    void on(crash_records_received const& event);
    void on(peer_contact_changed const& event);
    void on(limits_received const& event);
    void on(limits_allocated const& event);
    void on(leader_changed const& event);
    void on(admission_plan_received const& event);

    live_request* find(request_number number);
    void admit(live_request request);
    void rebuild();
    void record_zone_opened(zone_id const& zone);
    region_id own_region() const;
    void update_host_shares();
    void apply_region_plan();
    std::uint32_t region_number_of(region_id const& region);
    std::map<zone_id, std::uint32_t> number_zones() const;
    bool is_in_own_region(zone_id const& zone) const;
    void update_home_scope(service_id const& service, service_state& state);
    void count_crossing(live_request const& request);
    void count_home_scope(service_id const& service,
                          service_state const& state);
    std::vector<policy::region_target>
    region_targets(std::vector<double> const& shares) const;
    region_id region_name_of(std::optional<std::uint32_t> region) const;
    bool fill_from_route(live_request& request,
                         config::request_route const& route,
                         request_arrived const& event);
    bool admit_customer(live_request& request,
                        config::request_route const& route,
                        request_arrived const& event);
    static bool restrict_regions(live_request& request,
                                 std::vector<region_id> const& regions);
    bool accept_within_limit(live_request& request,
                             request_arrived const& event);
    void refuse_customer(live_request const& request,
                         request_arrived const& event, std::uint16_t status,
                         refusal_reason reason, duration retry_after);
    bool fill_from_service(live_request& request, request_arrived const& event);
    void place(live_request& request);
    void place_again(std::vector<std::uint64_t> const& tickets);
    void place_at_upstream(live_request& request);
    bool is_allowed_region(live_request const& request,
                           std::uint32_t region) const;
    std::vector<std::uint32_t> regions_to_try(live_request const& request);
    policy::placement_verdict find_placement(live_request& request,
                                             std::uint32_t region);
    void start(live_request& request);
    void start_at(live_request& request, config::upstream const& upstream);
    bool is_last_attempt(live_request const& request) const;
    bool retry_failed_answer(live_request& request);
    void place_elsewhere(live_request& request);
    void retry_or_end(live_request& request, refusal_reason reason,
                      bool body_usable);
    std::optional<duration> acquire_retry(live_request& request,
                                          bool body_usable);
    void answer_claim_verdict(live_request& request,
                              once::claim_verdict const& verdict);
    void dispatch_waiting(service_state& state);
    void dispatch_services();
    void reconfigure_services();
    void refuse_expired(service_state& state);
    bool can_meet_deadline(live_request const& request);
    void update_reach(live_request& request) const;
    service_state& state_of(service_id const& service);
    policy::waiting_request
    to_waiting_request(live_request const& request) const;
    void record_failure(live_request const& request);
    void record_run(live_request const& request);
    void record_loss(live_request const& request);
    void record_limit(upstream_signals_received const& event);
    void record_leaving(upstream_signals_received const& event);
    void record_rest(upstream_signals_received const& event);
    void place_stranded(service_id const& service);
    void update_limit_peers();
    void report_limits();
    void configure_customer_limits();
    void report_customers();
    void return_token(live_request& request);
    void refuse_unplaced(live_request& request);
    void record_complete_answer(live_request const& request);
    void record_upstream_end(upstream_id const& upstream);
    void record_crash(policy::lost_request const& request,
                      upstream_id const& upstream);
    void find_ended_upstreams();
    void find_restarted_upstreams();
    void repeat_probes();
    void record_sign_of_life(upstream_signals_received const& event);
    void publish_crash_record(policy::crash_record const& record);
    void send_changed_crashes();
    void refuse_crashing(std::uint64_t digest);
    std::optional<duration> crash_refusal(live_request const& request) const;
    void set_timer(live_request& request, instant when);
    void expire(live_request& request);
    void expire_run(live_request& request);
    void release_slot(live_request const& request);
    void record_connection_failure(upstream_id const& upstream,
                                   zone_id const& zone);
    void record_connection(upstream_id const& upstream);
    void withdraw_disproved_crashes(upstream_signals_received const& event);
    void withdraw_crashes_of_cut();
    template <class Predicate>
    void withdraw_crashes(Predicate is_disproved);
    void probe_for_contact();
    std::vector<config::upstream const*> choose_probes(std::size_t count);
    void configure_contact();
    config::upstream const* find_upstream(upstream_id const& id) const;
    bool relay(live_request& request);
    relay_host const* find_relay_host(live_request const& request) const;
    relay_host const* choose_relay_host(live_request const& request) const;
    void relay_elsewhere(live_request& request);
    void on_relay_head(live_request& request,
                       upstream_head_received const& event);
    void on_relay_failure(live_request& request, upstream_failed const& event);

    void refuse(live_request& request, refusal_reason reason);
    void refuse(live_request& request, refusal_reason reason,
                duration retry_after);
    void abandon_as_unknown(live_request& request, refusal_reason reason);
    void finish(live_request& request);
    void report_end(live_request const& request);
    void count_split_part(live_request const& request);
    void forget_ended_splits();
    void release_claim(live_request& request);
    void refuse_arrival(request_arrived const& event, refusal_reason reason);
    void refuse_relayed(request_arrived const& event);
    void answer_with_problem(request_number number, service_id const& service,
                             std::uint16_t status, refusal_reason reason,
                             duration retry_after);
    void finish_with_problem(live_request& request, std::uint16_t status,
                             refusal_reason reason, duration retry_after);
    void count_end(live_request const& request,
                   std::uint64_t service_counters::* kind);
    void check_drain_progress();
    bool ends_after_stop(instant deadline) const;
    policy::rank_admission& admission_of(service_id const& service);
    rank_counters& rank_counters_of(live_request const& request);
    void record_offered(live_request& request);
    void record_admission_outcome(live_request const& request);
    std::optional<admission_report>
    report_admission(live_request const& request) const;

    entry_settings host_settings;
    instant now{};
    effects pending_effects;
    bilberrylead::revision revision = 0;
    std::shared_ptr<config::configuration const> content;
    std::shared_ptr<std::vector<discovery::listed_upstream> const>
        upstream_list;
    discovery::list_position listing_position;
    std::set<zone_id> closed;
    entry_hosts_counted entry_hosts;
    bool has_peer_contact = true;
    regions_planned region_plan;
    policy::generator split_random;
    policy::generator customer_random;
    policy::generator probe_random;
    std::uint64_t placement_seed;
    std::uint64_t split_draw_count = 0;
    std::map<region_id, std::uint32_t> region_numbers;
    std::unique_ptr<routing_table const> routing;
    std::unique_ptr<customer_index const> customers;
    std::map<service_id, service_state> service_states;
    std::unordered_map<request_number, live_request> live_requests;
    std::set<timer_entry> timers;
    // Services to dispatch at the end of the event: those with a released slot,
    // and at each tick all.
    std::set<service_id> services_to_dispatch;
    // Claims of requests that were abandoned before the verdict arrived. A
    // grant that arrives late must be released, otherwise the work stays
    // claimed.
    std::unordered_map<request_number, once::claim_key> abandoned_claims;
    std::deque<std::pair<instant, request_number>> abandoned_claim_expiries;
    bool control_is_reachable = true;
    drain_life_cycle drain;
    instant drain_started_at{};
    instant last_activity{};
    entry_counters current_counters;
    policy::crash_history crashes;
    policy::crash_report_queue changed_crashes;
    policy::connection_losses losses;
    policy::upstream_contact contact;
    std::vector<relay_host> relay_hosts;
    // Requests that each of these carries for this host now.
    std::map<host_id, std::uint32_t> relays_in_flight;
    instant next_contact_probe{};
    std::deque<own_crash> own_crashes;
    // Time at which an upstream last accepted a connection of this host.
    instant last_connection_at{};
    // While no upstream is reached: since when an upstream has answered another
    // entry host and none has accepted a connection of this one.
    std::optional<instant> only_others_reach_since;
    policy::customer_limits customer_limits;
    std::map<service_id, policy::rank_admission> admissions;
    // The leader that made the last admission plan.
    host_id admission_source;
};

} // namespace bilberrylead::entry

#endif
