#ifndef BILBERRYLEAD_ENTRY_SERVICE_STATE_HPP
#define BILBERRYLEAD_ENTRY_SERVICE_STATE_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/config/upstream.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/entry/home_scope_status.hpp"
#include "bilberrylead/entry/limit_use.hpp"
#include "bilberrylead/entry/upstream_incarnation.hpp"
#include "bilberrylead/entry/upstream_load.hpp"
#include "bilberrylead/entry/upstream_record.hpp"
#include "bilberrylead/policy/admission_queue.hpp"
#include "bilberrylead/policy/arrival_rate.hpp"
#include "bilberrylead/policy/cold_share.hpp"
#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/home_scope.hpp"
#include "bilberrylead/policy/least_completion_choice.hpp"
#include "bilberrylead/policy/limit_report.hpp"
#include "bilberrylead/policy/mean_load.hpp"
#include "bilberrylead/policy/placement_candidate.hpp"
#include "bilberrylead/policy/placement_request.hpp"
#include "bilberrylead/policy/placement_verdict.hpp"
#include "bilberrylead/policy/region_shares.hpp"
#include "bilberrylead/policy/report_validity.hpp"
#include "bilberrylead/policy/retry_budget.hpp"
#include "bilberrylead/policy/service_time_estimate.hpp"
#include "bilberrylead/policy/slot_pool.hpp"
#include "bilberrylead/policy/upstream_placement.hpp"
#include "bilberrylead/policy/upstream_set.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bilberrylead::entry
{

/// Which upstreams of a service a caller can reach, in the order of
/// `service_state::upstreams`; empty if it reaches all. Callers with equal
/// reach share a queue.
using reach = std::vector<bool>;

/// An upstream of the service and its latency.
struct configured_upstream
{
    /// The configured upstream; it has at least one slot.
    config::upstream const* upstream = nullptr;
    /// One-way latency to the upstream.
    duration distance{};
    /// Number of the upstream's region, for placement.
    std::uint32_t region = 0;
    /// True if the zone is closed: no new requests.
    bool closed = false;
    /// Time until which the upstream is cold, from the upstream list.
    instant cold_until{};
    /// The listing in which its incarnation stood first; zero if unknown.
    discovery::list_position incarnation = {};
    /// Number of the upstream's zone, for placement; see placement_candidate.
    std::uint32_t zone = policy::placement_candidate::own_zone;
    /// True if the upstream is in this host's region.
    bool in_own_region = true;
};

/// Load state of one service at this entry host: decides which requests wait or
/// are refused and which upstream runs a request. The policies are in
/// bilberrylead/policy; this class holds the data that they use.
class service_state
{
public:
    /// Creates the state of a service without upstreams.
    service_state(config::work_length length, std::uint64_t seed,
                  policy::placement_settings const& placing = {});

    /// Not copyable: it contains pointers to its own members.
    service_state(service_state const&) = delete;
    service_state& operator=(service_state const&) = delete;

    /// Replaces the upstreams by those of a new configuration. Records of
    /// upstreams are kept by id; every queue must be empty (see
    /// `remove_waiting`).
    void configure(std::vector<configured_upstream> upstreams, instant now);

    /// Removes every waiting request, for a new configuration. Returns the
    /// tickets in ascending order.
    std::vector<std::uint64_t> remove_waiting(instant now);

    /// Removes the waiting requests that no upstream accepts now. Returns the
    /// tickets in ascending order.
    std::vector<std::uint64_t> remove_stranded(instant now);

    /// Admits, queues or refuses a request that needs a slot now.
    policy::admission_verdict offer(policy::waiting_request const& request,
                                    reach const& reachable, instant now);

    /// Expected time until a request of the flow would get a slot.
    duration expected_wait(std::uint32_t flow, reach const& reachable,
                           instant now);

    /// Ticket of the next waiting request that may start now, visiting the
    /// queues in turn; empty if none may.
    std::optional<std::uint64_t> next(instant now);

    /// Ticket of a waiting request that can no longer meet its deadline; empty
    /// if there is none.
    std::optional<std::uint64_t> next_expired(instant now);

    /// Removes a request from its queue.
    void cancel(std::uint64_t ticket, reach const& reachable);

    /// Selects an upstream with a free slot, preferably one that is not in
    /// `tried`; null if there is none.
    config::upstream const* choose(reach const& reachable,
                                   std::vector<upstream_id> const& tried,
                                   instant now);

    /// True if any reachable upstream accepts requests.
    bool accepts_work(reach const& reachable, instant now) const;

    /// True if there is a record of the upstream.
    bool has_record(upstream_id const& id) const
    {
        return this->records.contains(id);
    }

    /// Selects the upstream for a request, if requests wait at upstreams.
    policy::placement_verdict place(policy::placement_request const& question,
                                    reach const& reachable,
                                    std::vector<upstream_id> const& tried,
                                    instant now);

    /// Upstream by id in the current configuration; null if there is none.
    config::upstream const* find_upstream(upstream_id const& id) const;

    /// True if the upstream rests, leaves or has no record: it receives no
    /// requests of this host.
    bool is_withheld(upstream_id const& id, instant now) const;

    /// True if a request that was placed at the upstream may still be sent to
    /// it: it is configured, not listed as leaving, its zone is open, and it
    /// neither rests nor leaves.
    bool may_receive(upstream_id const& id, instant now) const;

    /// Upstream at an index that `place` returned.
    config::upstream const& upstream_at(std::size_t index) const
    {
        return *this->configured_upstreams[index].upstream;
    }

    /// Round-trip time to the upstream at that index.
    duration round_trip_to(std::size_t index) const
    {
        return 2 * this->configured_upstreams[index].distance;
    }

    /// Sets this host's share of the bounds on requests to cold upstreams, and
    /// the number of retries that it may save up.
    void set_host_shares(policy::cold_share const& cold_share,
                         double saved_retries);

    /// True if what is learnt from that incarnation concerns the current one.
    bool is_current(upstream_incarnation const& from) const;

    /// The current incarnation of an upstream.
    upstream_incarnation current_incarnation(upstream_id const& id) const;

    /// Records the load that an upstream reported with an answer.
    void record_load(upstream_incarnation const& from,
                     upstream_load const& load, instant now);

    /// Records the rate limit that the upstream set in an answer; empty if it
    /// set none. Returns true if the limit changed.
    bool record_limit(upstream_incarnation const& from,
                      std::optional<double> limit, instant now);

    /// Records the report of another entry host about an upstream's limit.
    /// Returns true if this changed the limit.
    bool receive_limit(host_id const& sender,
                       policy::limit_report const& report, instant now);

    /// Sets the number of entry hosts, at least 1, and whether their reports
    /// about the limits of upstreams reach each other.
    void set_peers(std::uint64_t hosts, bool is_in_contact, instant now);

    /// Removes and returns the limit reports that have accumulated since the
    /// last call.
    std::vector<policy::limit_report> pop_limit_reports(instant now);

    /// Shortest time until a reachable upstream that is at its limit may
    /// receive a request; empty if no such upstream exists.
    std::optional<duration> time_to_next_token(reach const& reachable,
                                               instant now) const;

    /// Records that the upstream wants no requests of this host for that time.
    /// Returns true if this began or extended a rest.
    bool record_rest(upstream_incarnation const& from, duration time,
                     instant now);

    /// Time until the rest of the upstream ends; zero if it has none.
    duration rest_remaining(upstream_id const& id, instant now);

    /// Shortest time until a reachable upstream that rests may receive a
    /// request; empty if no such upstream exists.
    std::optional<duration> time_to_end_of_rest(reach const& reachable,
                                                instant now) const;

    /// Number of configured upstreams that rest.
    std::size_t resting_upstreams(instant now) const;

    /// Number of configured upstreams that announced that they are leaving.
    std::size_t leaving_upstreams(instant now) const;

    /// Records a run of a request by the upstream: the time that it would take
    /// if the object were known there, and the object, 0 for none. The load
    /// that came with the same answer must be recorded first, since the speed
    /// in it applies to this run.
    void record_run(upstream_incarnation const& from, duration time,
                    std::uint64_t object, instant now);

    /// Marks the upstreams of the zone as cold until the given time.
    void record_cold_zone(zone_id const& zone, instant until);

    /// Upstreams, in the order of every `reach`.
    std::vector<configured_upstream> const& upstreams() const
    {
        return this->configured_upstreams;
    }

    /// Records the arrival of a request for the service.
    void record_arrival(instant now)
    {
        this->arrivals.add(now);
    }

    /// Slots that all requests of the service would hold if all were served.
    double demand(instant now) const;

    /// Shares of the requests by number of region.
    policy::region_shares& region_shares()
    {
        return this->shares;
    }

    /// Usual run time, for the retry delay of callers.
    duration usual_run() const
    {
        return this->mean_load.run_time();
    }

    /// Acquires a slot of the upstream for a request that is being sent.
    /// Returns what was known of its rate limit, if one is in force.
    std::optional<limit_use> acquire_slot(upstream_id const& id, instant now);

    /// Releases a slot after the request ended in any way.
    void release_slot(upstream_incarnation const& from);

    /// Records the time from the sending of a request to the head of its
    /// answer.
    void record_answer(upstream_incarnation const& from, duration took,
                       instant now);

    /// Records how long a slot was held for a complete answer.
    void record_slot_time(upstream_incarnation const& from, duration time);

    /// Records a failure of the upstream.
    void record_failure(upstream_incarnation const& from, instant now);

    /// Records that the upstream refused a request: all of its slots are in
    /// use.
    void record_refusal(upstream_incarnation const& from, instant now);

    /// Records the number of slots in use that the upstream reported.
    void record_load_report(upstream_id const& id, std::uint32_t slots_in_use,
                            instant now);

    /// Excludes the upstream from new requests until the given time, and longer
    /// if it is excluded already. Returns true if it was not excluded.
    bool record_leaving(upstream_incarnation const& from, instant until,
                        instant now);

    /// Forgets the failures of all upstreams, after they turned out to be this
    /// host's own.
    void reset_health();

    /// Updates averages, upstream health and limits; called at every tick.
    void advance(instant now);

    /// Decides anew where the objects have their homes. Returns true if that
    /// changed.
    bool update_home_scope(instant now);

    /// State of that decision, for logs and metrics.
    home_scope_status home_scope_state(instant now) const;

    /// Time from slot to answer that nearly all requests stay within.
    duration usual_answer() const;

    /// Number of waiting requests.
    std::size_t waiting() const;

    /// Number of held slots.
    std::size_t in_use() const
    {
        return this->slots_held;
    }

    /// Budget for attempts beyond the first.
    policy::retry_budget budget;
    /// Random numbers for the decisions of this service.
    policy::generator random;
    // Of its own, so that limits leave the choices of upstreams as they are.
    policy::generator limit_random;

private:
    /// Time constant of the demand estimate. Demand follows changes within one
    /// to two seconds; single gaps between requests do not show.
    static constexpr std::chrono::duration<double> demand_window{1.5};
    /// Largest share of the requests that may move to other regions per second.
    /// Two seconds of it, plus random variation, stay below the usual bound of
    /// 15 %.
    static constexpr double max_region_shift_per_s = 0.045;

    upstream_record& record_of(upstream_id const& id);
    upstream_record& record_of(upstream_incarnation const& from);
    void set_limit_hosts(upstream_record& record, instant now);
    bool is_in_service(std::size_t index, instant now) const;
    bool is_held_back(std::size_t index, instant now) const;
    bool is_open(std::size_t index, instant now) const;
    bool is_reachable(reach const& reachable, std::size_t index) const;
    policy::slot_pool make_pool(reach const& reachable, instant now) const;
    policy::admission_queue& queue_for(reach const& reachable);
    std::optional<std::size_t>
    choose_excluding(reach const& reachable,
                     std::vector<upstream_id> const& excluded, instant now);
    void fill_views(reach const& reachable,
                    std::vector<upstream_id> const& excluded, instant now);

    bool may_send_to_cold(std::uint64_t upstream, std::uint32_t region) const;
    policy::mean_load& mean_load_in(std::uint32_t region);
    policy::placement_verdict
    place_with_homes(policy::placement_request question, bool is_first_attempt,
                     instant now);
    void count_home_upstreams(home_scope_status& status, instant now) const;
    void fill_candidates(std::uint64_t object, reach const& reachable,
                         std::vector<upstream_id> const& tried, instant now);

    config::work_length work_length;
    std::vector<configured_upstream> configured_upstreams;
    // Records of the upstreams, in the same order; used for each request, so
    // that no look-up is needed.
    std::vector<upstream_record*> upstream_records;
    std::vector<policy::placement_candidate> candidates;
    policy::upstream_placement placement;
    // Empty if homes are those of the region.
    std::optional<policy::home_scope> homes;
    // Usual load over all upstreams, and over those of one region by its
    // number. A region starts with the overall value at the time of its first
    // use.
    policy::mean_load mean_load;
    std::map<std::uint32_t, policy::mean_load> mean_load_by_region;
    // How long reports on the upstreams' speed stay valid.
    policy::report_validity report_validity;
    policy::cold_share cold;
    policy::arrival_rate arrivals{demand_window};
    policy::region_shares shares{max_region_shift_per_s};
    std::unordered_map<upstream_id, upstream_record> records;
    // Takes what was learnt from incarnations that have ended. Never read.
    upstream_record ended_record{1};
    // Upstreams whose limits or request counts have not been sent to the other
    // entry hosts yet.
    std::set<upstream_id> unsent_limits;
    std::uint64_t entry_hosts = 1;
    bool has_peer_contact = true;
    std::map<reach, policy::admission_queue> queues;
    policy::least_completion_choice choice;
    policy::service_time_estimate slot_time;
    policy::service_time_estimate answer_time;
    // Reused between calls to avoid allocations.
    policy::upstream_set views;
    std::size_t slots_held = 0;
    double average_slots_held = 0;
    std::size_t last_queue = 0;
};

} // namespace bilberrylead::entry

#endif
