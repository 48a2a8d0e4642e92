#ifndef BILBERRYLEAD_ENTRY_ENTRY_REDUCER_HPP
#define BILBERRYLEAD_ENTRY_ENTRY_REDUCER_HPP

#include "bilberrylead/entry/body_rules.hpp"
#include "bilberrylead/entry/drain_life_cycle.hpp"
#include "bilberrylead/entry/effect.hpp"
#include "bilberrylead/entry/entry_counters.hpp"
#include "bilberrylead/entry/entry_settings.hpp"
#include "bilberrylead/entry/event.hpp"
#include "bilberrylead/entry/live_request.hpp"
#include "bilberrylead/entry/routing_table.hpp"
#include "bilberrylead/entry/service_state.hpp"
#include "bilberrylead/policy/connection_losses.hpp"
#include "bilberrylead/policy/crash_history.hpp"
#include "bilberrylead/policy/generator.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace bilberrylead
{
class process_seed;
}

namespace bilberrylead::entry
{

/// Decides for one entry host: which upstream runs a request, when it is
/// tried again, and which final answer its caller gets. Pure: time is passed
/// in, effects are returned as data, no body byte passes through it.
class entry_reducer
{
public:
    /// Makes an entry host that has no configuration yet.
    entry_reducer(entry_settings chosen, process_seed const& seed);

    /// Takes one event and says what has to be done, in that order.
    effects reduce(event const& happened, instant now);

    /// True once a configuration is in force and until a drain begins.
    bool ready() const;

    /// Revision in force; 0 is none.
    bilberrylead::revision revision_in_force() const
    {
        return this->revision;
    }

    /// The configuration in force, arranged; null before the first.
    routing_table const* routes() const
    {
        return this->routing.get();
    }

    /// The service of that name in force, or null.
    config::service const* find_service(service_id const& id) const;

    /// What is done with the body of a request; `service` is the first
    /// segment of its path, for configurations without routes.
    body_rules rules_for_body(service_id const& service,
                              std::string const& host,
                              std::string_view path) const;

    /// What callers may send, if the configuration in force says so; null if
    /// it leaves that to the settings.
    config::caller_limits const* limits() const;

    /// What callers ask of each service now, in slots.
    std::map<service_id, double> demands() const;

    /// The zones that are closed now.
    std::set<zone_id> const& closed_zones() const
    {
        return this->closed;
    }

    /// True once a drain was asked for.
    bool draining() const
    {
        return this->drain.current() != drain_state::serving;
    }

    /// Requests that have not come to their end.
    std::size_t under_way() const
    {
        return this->live.size();
    }

    /// True until the request has come to its end here.
    bool knows(request_number number) const
    {
        return this->live.contains(number);
    }

    /// Requests under which upstreams ended, as known here.
    policy::crash_history const& crash_records() const
    {
        return this->crashes;
    }

    /// What was counted so far.
    entry_counters const& counters();

    /// What it was made with.
    entry_settings const& settings() const
    {
        return this->chosen;
    }

private:
    using wake_entry = std::pair<instant, request_number>;

    void on(configuration_received const& happened);
    void on(request_arrived const& happened);
    void on(claim_answered const& happened);
    void on(completion_stored const& happened);
    void on(upstream_head_received const& happened);
    void on(upstream_answer_finished const& happened);
    void on(upstream_failed const& happened);
    void on(caller_gone const& happened);
    void on(load_reported const& happened);
    void on(tick const& happened);
    void on(drain_requested const& happened);
    void on(control_reachable const& happened);
    void on(control_unreachable const& happened);
    void on(upstreams_listed const& happened);
    void on(entry_hosts_counted const& happened);
    void on(regions_planned const& happened);
    void on(upstream_probed const& happened);
    void on(crash_records_heard const& happened);
    void on(limits_heard const& happened);

    live_request* find(request_number number);
    void admit(live_request request);
    void rebuild();
    void note_opened(zone_id const& zone);
    region_id own_region() const;
    void set_shares();
    void follow_plan();
    std::uint32_t number_of(region_id const& region);
    std::vector<policy::region_target>
    named_regions(std::vector<double> const& shares) const;
    region_id name_of(std::optional<std::uint32_t> region) const;
    bool fill_from_route(live_request& request,
                         config::request_route const& route,
                         request_arrived const& happened);
    bool fill_from_service(live_request& request,
                           request_arrived const& happened);
    void place(live_request& request);
    void place_at_upstream(live_request& request);
    policy::placement_verdict find_place(live_request& request,
                                         std::uint32_t region);
    void start(live_request& request);
    void start_at(live_request& request, config::upstream const& upstream);
    bool is_last_try(live_request const& request) const;
    bool retry_failed_answer(live_request& request);
    void try_again(live_request& request, refusal_reason reason,
                   bool body_usable);
    std::optional<duration> ask_for_try(live_request& request,
                                        bool body_usable);
    void answer_verdict(live_request& request,
                        once::claim_verdict const& verdict);
    void serve_waiting(service_state& state);
    void serve_freed();
    void place_again();
    void refuse_expired(service_state& state);
    bool claim_is_worth_it(live_request const& request);
    void find_reach(live_request& request) const;
    service_state& state_of(service_id const& service);
    policy::waiting_request waiting_form(live_request const& request) const;
    void note_failure(live_request const& request);
    void note_run(live_request const& request);
    void note_loss(live_request const& request);
    void note_limit(live_request const& request,
                    upstream_head_received const& head);
    void report_limits();
    void refuse_unplaced(live_request& request);
    void note_whole_answer(live_request const& request);
    void note_end(upstream_id const& upstream);
    void note_crash(std::uint64_t digest, upstream_id const& upstream);
    void find_ended();
    void tell_own_record(policy::crash_record const& record);
    void refuse_crashing(std::uint64_t digest);
    std::optional<duration> crash_refusal(live_request const& request) const;
    void set_wake(live_request& request, instant when);
    void expire(live_request& request);
    void expire_run(live_request& request);
    void free_slot(live_request const& request);

    void refuse(live_request& request, refusal_reason reason);
    void refuse(live_request& request, refusal_reason reason,
                duration retry_after);
    void give_up_unknown(live_request& request, refusal_reason reason);
    void finish(live_request& request);
    void tell_end(live_request const& request);
    void drop_claim(live_request& request);
    void refuse_arrival(request_arrived const& happened, refusal_reason reason);
    void problem(request_number number, service_id const& service,
                 std::uint16_t status, refusal_reason reason,
                 duration retry_after);
    void problem_end(live_request& request, std::uint16_t status,
                     refusal_reason reason, duration retry_after);
    void count_end(live_request const& request,
                   std::uint64_t service_counters::* kind);
    void look_for_drain_end();

    entry_settings chosen;
    instant now{};
    effects out;
    bilberrylead::revision revision = 0;
    std::shared_ptr<config::configuration const> content;
    std::shared_ptr<std::vector<discovery::listed_upstream> const> listed;
    std::set<zone_id> closed;
    entry_hosts_counted entry_hosts;
    regions_planned plan;
    policy::generator draws;
    std::uint64_t placement_seed;
    std::uint64_t drawn_before = 0;
    std::map<region_id, std::uint32_t> region_numbers;
    std::unique_ptr<routing_table const> routing;
    std::map<service_id, service_state> states;
    std::unordered_map<request_number, live_request> live;
    std::set<wake_entry> wakes;
    // Services that had a slot freed, or lost an upstream, in this event.
    std::set<service_id> freed;
    // Claims whose requests were given up on before the verdict came: a
    // grant that comes late must be released, or the work stays claimed.
    std::unordered_map<request_number, once::claim_key> late_claims;
    std::deque<std::pair<instant, request_number>> late_claim_ends;
    bool control_answers = true;
    drain_life_cycle drain;
    instant drain_began{};
    instant last_work{};
    entry_counters counted;
    policy::crash_history crashes;
    policy::connection_losses losses;
};

} // namespace bilberrylead::entry

#endif
