#ifndef BILBERRYLEAD_ENTRY_SERVICE_STATE_HPP
#define BILBERRYLEAD_ENTRY_SERVICE_STATE_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/config/upstream.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/entry/upstream_load.hpp"
#include "bilberrylead/entry/upstream_record.hpp"
#include "bilberrylead/policy/admission_queue.hpp"
#include "bilberrylead/policy/arrival_rate.hpp"
#include "bilberrylead/policy/cold_share.hpp"
#include "bilberrylead/policy/completion_choice.hpp"
#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/limit_report.hpp"
#include "bilberrylead/policy/placement_candidate.hpp"
#include "bilberrylead/policy/placement_question.hpp"
#include "bilberrylead/policy/placement_verdict.hpp"
#include "bilberrylead/policy/region_shares.hpp"
#include "bilberrylead/policy/retry_budget.hpp"
#include "bilberrylead/policy/service_time_estimate.hpp"
#include "bilberrylead/policy/slot_pool.hpp"
#include "bilberrylead/policy/upstream_placement.hpp"
#include "bilberrylead/policy/upstream_set.hpp"
#include "bilberrylead/policy/usual_load.hpp"

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

/// Which of a service's upstreams a caller reaches, in the order of the
/// configuration. Callers with equal reach share a queue.
using reach = std::vector<bool>;

/// An upstream of the service and how far it is.
struct configured_upstream
{
    /// As configured; its slots are at least 1.
    config::upstream const* upstream = nullptr;
    /// One-way latency to it.
    duration distance{};
    /// Number of its region, for placements.
    std::uint32_t region = 0;
    /// True if its zone is closed: no new work.
    bool closed = false;
    /// It is cold until then, by the list of upstreams.
    instant cold_until{};
};

/// The decisions under load of one service at this entry host: who waits,
/// who is turned away, which upstream runs what. The rules themselves are
/// in bilberrylead/policy; this keeps what they look at.
class service_state
{
public:
    /// Makes the state of a service without upstreams.
    service_state(config::work_length length, std::uint64_t seed,
                  policy::placement_settings const& placing = {});

    /// It points into itself.
    service_state(service_state const&) = delete;
    service_state& operator=(service_state const&) = delete;

    /// Takes over the upstreams of a new configuration. What is known of
    /// them by name stays; every queue must be empty (see take_waiting).
    void configure(std::vector<configured_upstream> upstreams);

    /// Takes every waiting request out, for a new configuration.
    std::vector<std::uint64_t> remove_waiting(instant now);

    /// Decides what becomes of a request that needs a slot now.
    policy::admission_verdict offer(policy::waiting_request const& request,
                                    reach const& reachable, instant now);

    /// Time until such a request would get a slot.
    duration expected_wait(std::uint32_t flow, reach const& reachable,
                           instant now);

    /// The waiting request that may start now, of one queue after the
    /// other; nothing if none may.
    std::optional<std::uint64_t> next(instant now);

    /// A request that waits and can't make its deadline any more.
    std::optional<std::uint64_t> next_expired(instant now);

    /// Takes a request out of its queue.
    void cancel(std::uint64_t ticket, reach const& reachable);

    /// Picks an upstream with a free slot, one that is not among `tried` if
    /// there is any; null if there is none.
    config::upstream const* choose(reach const& reachable,
                                   std::vector<upstream_id> const& tried,
                                   instant now);

    /// True if any upstream within reach takes work at all.
    bool accepts_work(reach const& reachable, instant now) const;

    /// True if anything is known of the upstream.
    bool has_record(upstream_id const& id) const
    {
        return this->records.contains(id);
    }

    /// Decides where a request goes that waits at an upstream if it has to.
    policy::placement_verdict place(policy::placement_question const& question,
                                    reach const& reachable,
                                    std::vector<upstream_id> const& tried,
                                    instant now);

    /// The upstream at an index that `place` gave.
    config::upstream const& upstream_at(std::size_t index) const
    {
        return *this->configured_upstreams[index].upstream;
    }

    /// Time there and back to the upstream at that index.
    duration round_trip_to(std::size_t index) const
    {
        return 2 * this->configured_upstreams[index].distance;
    }

    /// What this host may send to a cold upstream, and further tries it may
    /// save up: its share of what all hosts may.
    void set_host_shares(policy::cold_share const& cold_share,
                         double saved_retries);

    /// The upstream's load, as it told beside an answer.
    void record_load(upstream_id const& id, upstream_load const& load,
                     instant now);

    /// The limit that the upstream named in an answer; nothing if it named
    /// none. True if it is another one than before.
    bool record_limit(upstream_id const& id, std::optional<double> limit,
                      instant now);

    /// What another entry host tells of an upstream's limit. True if the
    /// limit is another one by it.
    bool receive_limit(host_id const& sender,
                       policy::limit_report const& report, instant now);

    /// What has to be told of limits since the last call.
    std::vector<policy::limit_report> pop_limit_reports(instant now);

    /// Time until one of the upstreams within reach that are at their limits
    /// may get a request; nothing if there is none.
    std::optional<duration> time_to_next_token(reach const& reachable,
                                               instant now) const;

    /// The upstream worked on a request of this host's: so long as it would
    /// take where the object is known, 0 for none.
    void record_run(upstream_id const& id, duration time, std::uint64_t object,
                    instant now);

    /// The upstreams of the zone are cold until then.
    void record_cold_zone(zone_id const& zone, instant until);

    /// The upstreams, in the order of every reach.
    std::vector<configured_upstream> const& upstreams() const
    {
        return this->configured_upstreams;
    }

    /// A request for the service arrived.
    void record_arrival(instant now)
    {
        this->arrivals.add(now);
    }

    /// Slots that its requests would hold if all of them were served.
    double demand(instant now) const;

    /// Where requests run, by number of region.
    policy::region_shares& region_shares()
    {
        return this->shares;
    }

    /// Time that requests usually run, for callers that come back.
    duration usual_run() const
    {
        return this->usual_load.run();
    }

    /// Work was started there.
    void acquire_slot(upstream_id const& id, instant now);

    /// Work has ended there, in whatever way.
    void release_slot(upstream_id const& id);

    /// The answer's head came this long after the request was sent.
    void record_answer(upstream_id const& id, duration took, instant now);

    /// A slot was held this long for a whole answer.
    void record_slot_time(upstream_id const& id, duration time);

    /// The upstream failed the request.
    void record_failure(upstream_id const& id, instant now);

    /// The upstream turned the request away: all of its slots are taken.
    void record_refusal(upstream_id const& id, instant now);

    /// The upstream's own report.
    void record_load_report(upstream_id const& id, std::uint32_t slots_in_use,
                            instant now);

    /// The upstream gets no new work until then.
    void record_leaving(upstream_id const& id, instant until);

    /// Time went by.
    void advance(instant now);

    /// Time that nearly every request takes from slot to answer.
    duration usual_answer() const;

    /// Requests that wait.
    std::size_t waiting() const;

    /// Slots held.
    std::size_t in_use() const
    {
        return this->slots_held;
    }

    /// What pays for further tries.
    policy::retry_budget budget;
    /// Random numbers of this service's decisions.
    policy::generator random;

private:
    /// Demands follow what callers do within a second or two; single gaps
    /// between requests do not show.
    static constexpr std::chrono::duration<double> demand_window{1.5};
    /// Share of the requests that may move to other regions in a second. Two
    /// seconds of it, and what chance adds, stay below the usual bound of 15
    /// in 100.
    static constexpr double max_region_shift_per_s = 0.045;

    upstream_record& record_of(upstream_id const& id);
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
    policy::usual_load& usual_load_in(std::uint32_t region);
    void fill_candidates(std::uint64_t object, reach const& reachable,
                         std::vector<upstream_id> const& tried, instant now);

    config::work_length work_length;
    std::vector<configured_upstream> configured_upstreams;
    // What is known of each of them, in the same order; each request looks
    // at all of them.
    std::vector<upstream_record*> upstream_records;
    std::vector<policy::placement_candidate> candidates;
    policy::upstream_placement placement;
    // Over all upstreams, and over those of one region by its number, which
    // starts from what was usual when the region was first looked at.
    policy::usual_load usual_load;
    std::map<std::uint32_t, policy::usual_load> usual_by_region;
    policy::cold_share cold;
    policy::arrival_rate arrivals{demand_window};
    policy::region_shares shares{max_region_shift_per_s};
    std::unordered_map<upstream_id, upstream_record> records;
    // Upstreams whose limits or counts the other entry hosts don't know yet.
    std::set<upstream_id> unsent_limits;
    std::map<reach, policy::admission_queue> queues;
    policy::completion_choice choice;
    policy::service_time_estimate slot_time;
    policy::service_time_estimate answer_time;
    // Kept between calls, so that a choice allocates nothing.
    policy::upstream_set views;
    std::size_t slots_held = 0;
    double average_slots_held = 0;
    std::size_t last_queue = 0;
};

} // namespace bilberrylead::entry

#endif
