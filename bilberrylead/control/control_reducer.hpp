#ifndef BILBERRYLEAD_CONTROL_CONTROL_REDUCER_HPP
#define BILBERRYLEAD_CONTROL_CONTROL_REDUCER_HPP

#include "bilberrylead/agreement/event.hpp"
#include "bilberrylead/agreement/replica.hpp"
#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/catalog/replicated_state.hpp"
#include "bilberrylead/control/admission_reports.hpp"
#include "bilberrylead/control/admission_status.hpp"
#include "bilberrylead/control/control_effect.hpp"
#include "bilberrylead/control/control_event.hpp"
#include "bilberrylead/control/control_reducer_settings.hpp"
#include "bilberrylead/control/held_admission.hpp"
#include "bilberrylead/control/held_confirmation.hpp"
#include "bilberrylead/control/pending_requests.hpp"
#include "bilberrylead/control/region_load_table.hpp"
#include "bilberrylead/discovery/list_reader.hpp"
#include "bilberrylead/discovery/listing_delivery.hpp"
#include "bilberrylead/discovery/upstream_listing.hpp"
#include "bilberrylead/distribution/revision_exchange.hpp"
#include "bilberrylead/membership/planned_host.hpp"
#include "bilberrylead/policy/admission_planner.hpp"
#include "bilberrylead/policy/crash_history.hpp"
#include "bilberrylead/policy/crash_report_queue.hpp"
#include "bilberrylead/policy/limit_allocator.hpp"
#include "bilberrylead/policy/recent_peak.hpp"
#include "bilberrylead/presence/entry_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace bilberrylead
{
class process_seed;
}

namespace bilberrylead::control
{

/// Makes all decisions of a control host, without access to clock, network or
/// disk: runs the replicated log and its state machine, answers operators and
/// entry hosts, and decides which revision is sent to which peer.
class control_reducer
{
public:
    /// Makes the reducer for one incarnation of a data folder.
    control_reducer(control_reducer_settings const& settings,
                    process_seed const& seed);

    /// Handles a batch of events; their writes share one sync. `now` must
    /// not decrease from call to call. The first event is control_started.
    std::vector<control_effect> reduce(std::span<control_event const> events,
                                       instant now);

    /// The replicated log, for status and metrics.
    agreement::replica const& log() const;

    /// The state built from the replicated log, for status and metrics.
    catalog::replicated_state const& state() const;

    /// Returns the entry hosts that a caller should use.
    presence::steering_reply steer(presence::steering_query const& query,
                                   instant now)
    {
        return this->entry_hosts.reply_to(query, now);
    }

    /// The current listing of upstreams, for metrics.
    discovery::upstream_listing const& upstreams() const
    {
        return this->listing;
    }

    /// The newest plan of this host's region; empty if it has received none.
    std::optional<link::region_plan> const& plan() const
    {
        return this->current_plan;
    }

    /// What this host last planned for admission as the leader, for metrics.
    std::vector<admission_status> const& admission() const
    {
        return this->admission_statuses;
    }

    /// Number of admission plans that this host has computed, for metrics.
    std::uint64_t admission_plans() const
    {
        return this->admission_number;
    }

    /// The newest admission plan of this host's region; empty if there is
    /// none.
    std::optional<held_admission> const& admission_plan() const
    {
        return this->current_admission;
    }

    /// Requests during which upstreams crashed, for metrics.
    policy::crash_history const& crash_records() const
    {
        return this->crashes;
    }

private:
    void on(control_started const& event);
    void on(peer_connected const& event);
    void on(peer_disconnected const& event);
    void on(peer_message const& event);
    void on(operator_request_received const& event);
    void on(operator_disconnected const& event);
    void on(control_tick const& event);
    void on(control_disk_failed const& event);
    void on(list_page_received const& event);
    void on(list_call_failed const& event);

    void on_peer(link::link_number from, link::replica_message const& message);
    void on_peer(link::link_number from, link::subscription const& message);
    void on_peer(link::link_number from,
                 link::registration_request const& message);
    void on_peer(link::link_number from, link::once_request const& message);
    void on_peer(link::link_number from, link::entry_presence const& message);
    void on_peer(link::link_number from, link::host_place const& message);
    void on_peer(link::link_number from, link::group_news const& message);
    void on_peer(link::link_number from, link::upstream_update const& message);
    void on_peer(link::link_number from, link::upstream_request const& message);
    void on_peer(link::link_number from, link::region_plan const& message);
    void on_peer(link::link_number from,
                 link::upstream_contact_notice const& message);
    void on_peer(link::link_number from, link::crash_report const& message);
    void on_peer(link::link_number from, link::limit_notice const& message);
    void on_peer(link::link_number from,
                 link::customer_usage_report const& message);
    template <class Other>
    void on_peer(link::link_number from, Other const& message);

    void handle_request(operator_request_received const& received,
                        submit_change const& request);
    void handle_request(operator_request_received const& received,
                        read_configuration const& request);
    void handle_request(operator_request_received const& received,
                        read_audit const& request);
    void handle_request(operator_request_received const& received,
                        read_status const& request);
    void handle_request(operator_request_received const& received,
                        change_membership const& request);
    void handle_request(operator_request_received const& received,
                        hand_over const& request);
    void handle_request(operator_request_received const& received,
                        submit_orders const& request);
    void handle_request(operator_request_received const& received,
                        submit_zone_order const& request);
    void handle_request(operator_request_received const& received,
                        read_orders const& request);
    void handle_request(operator_request_received const& received,
                        read_crash_records const& request);
    void handle_request(operator_request_received const& received,
                        lift_crash_record const& request);
    void handle_request(operator_request_received const& received,
                        read_customers const& request);
    void handle_request(operator_request_received const& received,
                        read_admission const& request);

    void run_replica();
    void carry_out(agreement::persist_hard_state const& effect);
    void carry_out(agreement::append_entries const& effect);
    void carry_out(agreement::persist_snapshot const& effect);
    void carry_out(agreement::drop_log_prefix const& effect);
    void carry_out(agreement::sync const& effect);
    void carry_out(agreement::send const& effect);
    void carry_out(agreement::apply const& effect);
    void carry_out(agreement::restore const& effect);
    void carry_out(agreement::proposal_accepted const& effect);
    void carry_out(agreement::proposal_refused const& effect);
    void carry_out(agreement::proposal_outcome_unknown const& effect);
    void carry_out(agreement::read_ready const& effect);
    void carry_out(agreement::read_refused const& effect);
    void carry_out(agreement::role_changed const& effect);
    void carry_out(agreement::take_snapshot const& effect);

    void plan_membership();
    std::vector<membership::planned_host> planned_hosts() const;
    link::group_host group_host_of(host_id const& host) const;
    void send_group_update();
    void send_group_update(link::link_number to);
    bool needs_reported_members() const;
    void link_control_hosts();
    void read_list();
    void set_list_expectation();
    void request_listing();
    void send_listing(discovery::list_changes changes);
    void record_delivery(discovery::listing_delivery_report const& report);
    void check_listing_budget();
    void record_listing_change(discovery::list_changes const& changes,
                               std::optional<duration> max_age);
    void plan_regions();
    void hold_plan(link::region_plan const& message);
    link::region_plan plan_for_new_host() const;
    void record_admission_report(host_id const& host,
                                 link::entry_presence const& message);
    bool has_enough_admission_reports() const;
    std::map<region_id, link::admission_shares>
    plan_admission(region_load_table const& loads,
                   region_load_table::share_table const& shares);
    void hold_admission(std::uint64_t term,
                        link::admission_shares const& shares);
    void send_crash_records(link::link_number to);
    void send_changed_crashes();
    bool is_linked_to_all_entry_hosts() const;
    void allocate_limits();

    void propose(waiter requester, catalog::replicated_command const& command);
    void publish();
    void publish(revision number, bytes content);
    void exchange_event(distribution::exchange_event const& event);
    void hold_confirmation(waiting_operator const& requester,
                           operator_reply reply);
    void confirm_changes();
    bool is_confirmable(held_confirmation const& held) const;
    void confirm(held_confirmation const& held);
    void record_revision_sent(revision number);
    void record_revision_in_force(link::link_number from, revision in_force);
    void answer(std::uint64_t number, operator_reply reply);
    void answer_accepted(waiting_operator const& requester,
                         std::uint64_t index);
    void answer_accepted(waiting_entry_host const& requester,
                         std::uint64_t index);
    void refuse(waiter const& requester, absl::Status const& reason,
                host_id const& leader);
    void send(link::link_number to, link::message content);
    void send(std::vector<link::link_number> links, link::message content);
    std::vector<link::link_number> all_links() const;
    std::vector<link::link_number> links_of(link::peer_role role) const;
    configuration_reply configuration_of(revision wanted) const;
    audit_reply newest_audit(std::size_t max_entries) const;
    status_reply status() const;
    host_id const& peer_of(link::link_number number) const;

    control_reducer_settings settings;
    instant time;
    agreement::replica replica;
    catalog::replicated_state replicated;
    distribution::revision_exchange exchange;
    std::map<link::link_number, link::peer_identity> links;
    std::map<host_id, link::link_number> control_links;
    pending_requests pending;
    std::vector<held_confirmation> held_confirmations;
    /// When this host published its newest revision, and the index in the
    /// replicated log that it came with.
    instant published_at{};
    std::uint64_t published_index = 0;
    std::map<std::uint64_t, read_configuration> pending_reads;
    std::map<std::uint64_t, std::size_t> pending_audits;
    std::set<std::uint64_t> pending_order_reads;
    std::map<std::uint64_t, catalog::replicated_outcome> outcomes;
    std::vector<agreement::event> replica_events;
    std::vector<control_effect> effects;
    instant time_advanced_at;
    host_id known_leader;
    presence::entry_table entry_hosts;
    std::map<host_id, link::host_place> places;
    link::group_news sent_group;
    /// The group as control hosts report it, by open link.
    std::map<link::link_number, std::set<host_id>> reported_members;
    instant group_sent_at{};
    instant planned_at;
    discovery::upstream_listing listing;
    std::optional<discovery::list_reader> reader;
    instant listing_requested_at;
    instant listing_sent_at;
    discovery::listing_delivery delivery;
    delivery_tracker<revision> revision_delivery;
    bool keeps_listing_budget = true;
    instant regions_planned_at;
    std::optional<link::region_plan> current_plan;
    instant leader_since{};
    policy::crash_history crashes;
    policy::crash_report_queue changed_crashes;
    policy::limit_allocator limits;
    policy::recent_peak known_entry_hosts;
    std::uint64_t peak_entry_hosts = 0;
    policy::admission_planner admission_planning;
    admission_reports admission_demands;
    std::optional<held_admission> current_admission;
    std::uint64_t admission_number = 0;
    instant admission_planned_at{};
    std::vector<admission_status> admission_statuses;
};

} // namespace bilberrylead::control

#endif
