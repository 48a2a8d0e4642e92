#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_OWNER_MODEL_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_OWNER_MODEL_HPP

#include "bilberrylead/policy/slot_owner.hpp"
#include "steering.hpp"
#include "tally.hpp"
#include "timeline.hpp"
#include "upstream_model.hpp"

#include <cstdint>
#include <vector>

namespace policy_bench
{

/// Entry hosts that ask their zone's slot_owner; every message between
/// hosts takes the link's time.
class owner_model
{
public:
    /// Makes a model.
    owner_model(profile const& where, scenario const& what,
                std::vector<arrival> const& arrivals, steering_kind steered,
                bilberrylead::policy::slot_owner_settings const& settings);

    /// Plays all arrivals to their end.
    summary run();

private:
    enum class kind
    {
        arrive,
        ask,
        granted,
        refused,
        move,
        reach,
        finish,
        answer,
        release,
        load,
        tick,
        restart,
    };
    struct event
    {
        kind what = kind::arrive;
        std::uint32_t request = 0;
        std::uint32_t zone = 0;
        std::uint32_t from = 0;
        bilberrylead::policy::zone_load_reported load;
    };
    /// Where a request is.
    struct place
    {
        /// The host that the caller sent it to.
        std::uint32_t host = 0;
        /// The host that asks for its slot: the same, or an owner's.
        std::uint32_t asker = 0;
        /// The zone whose slots it asks for.
        std::uint32_t zone = 0;
        std::uint32_t upstream = 0;
        std::uint64_t grant = 0;
        bilberrylead::instant sent;
        bool moved = false;
    };
    /// What was told last, and when.
    struct told
    {
        bilberrylead::policy::zone_load_reported load;
        bilberrylead::instant at;
    };
    struct zone_state
    {
        std::uint32_t owner_host = 0;
        std::uint32_t first_upstream = 0;
        told near;
        told far;
    };

    void handle(event const& next);
    void arrive(std::uint32_t request);
    void ask(std::uint32_t request);
    void send(std::uint32_t request);
    void start(std::uint32_t request);
    void finish(std::uint32_t request);
    void answer(std::uint32_t request);
    void release(std::uint32_t request);
    void tick();
    void reduce(std::uint32_t zone,
                bilberrylead::policy::slot_owner_event const& what);
    void carry_out(std::uint32_t zone,
                   bilberrylead::policy::slot_owner_effect const& effect);
    void tell_load(std::uint32_t zone);
    static bool is_due(told const& last,
                       bilberrylead::policy::zone_load_reported const& load,
                       bilberrylead::instant now,
                       bilberrylead::duration interval);
    void after(bilberrylead::duration delay, event next);
    bilberrylead::duration to_owner(std::uint32_t host,
                                    std::uint32_t zone) const;

    profile where;
    scenario const& what;
    std::vector<arrival> const& arrivals;
    steering steer;
    std::vector<std::uint32_t> host_zones;
    tally result;
    std::vector<place> places;
    std::vector<upstream_model> upstreams;
    std::vector<zone_state> zones;
    std::vector<bilberrylead::policy::slot_owner> owners;
    timeline<event> events;
};

} // namespace policy_bench

#endif
