#ifndef BILBERRYLEAD_POLICY_RANK_ADMISSION_HPP
#define BILBERRYLEAD_POLICY_RANK_ADMISSION_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/admission_basis.hpp"
#include "bilberrylead/policy/admission_demand.hpp"
#include "bilberrylead/policy/admission_plan.hpp"
#include "bilberrylead/policy/arrival_rate.hpp"
#include "bilberrylead/policy/customer_demand_counter.hpp"
#include "bilberrylead/policy/planned_shares.hpp"
#include "bilberrylead/policy/rank_admission_settings.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrylead::policy
{

/// Decides at one entry host how long a wait the requests for one service may
/// tolerate, by the rank and the customer of each request.
///
/// Load it handles: offered work of 1.2 to 1.5 times the capacity, of several
/// ranks, on upstreams that many entry hosts share. Without it, chance decides
/// who is served. A request that tolerates no wait is served only by a free
/// slot, so that no capacity stays idle, and leaves the slots that become free
/// while others wait to the more urgent requests.
///
/// Without a plan, the thresholds of less urgent ranks fall while more urgent
/// requests are refused or late at this host, and return to 1 otherwise. With a
/// plan, the planned shares of the ranks and customers are admitted, and the
/// thresholds correct them.
///
/// The state is bounded (see rank_admission_settings) and in memory only.
class rank_admission
{
public:
    /// Without requests and without a plan. `seed` determines which requests
    /// are within a share.
    explicit rank_admission(rank_admission_settings const& settings = {},
                            std::uint64_t seed = 0);

    /// Records a new request, before it is admitted or refused. `tolerance`
    /// then applies to it.
    void record_offered(std::uint32_t rank, customer_id const& customer,
                        instant now);

    /// Records that a request was served.
    void record_served(std::uint32_t rank, instant now);

    /// Records that a request was refused for lack of capacity. A refusal of a
    /// request beyond the planned share is intended by the plan and restricts
    /// no other request.
    void record_refused(std::uint32_t rank, instant now,
                        bool within_share = true);

    /// Records that a served request missed its latency target because it had
    /// to wait, in addition to `record_served`.
    void record_late(std::uint32_t rank, instant now);

    /// Applies a plan for this service and region that was made `age` ago.
    void apply(admission_plan const& plan, duration age, instant now);

    /// Factor, 0 to 1, for the wait that the request recorded last for this
    /// rank and customer may tolerate. 1: as without admission; 0: it is served
    /// only if a slot is free. Never below the lower bounds of the settings.
    double tolerance(std::uint32_t rank, customer_id const& customer,
                     instant now) const;

    /// True unless the request recorded last for this rank and customer is
    /// beyond the planned share.
    bool is_within_share(std::uint32_t rank, customer_id const& customer,
                         instant now) const;

    /// The values behind `tolerance`.
    admission_basis basis(std::uint32_t rank, customer_id const& customer,
                          instant now) const;

    /// Offered work, for the leader. The service is not filled in.
    admission_demand demand(duration usual_run, instant now) const;

    /// Number of customers whose demand is counted.
    std::size_t tracked_customers() const
    {
        return this->customers.size();
    }

    /// Number of customers with a planned share.
    std::size_t planned_customers() const
    {
        return this->shares.customer_count();
    }

private:
    /// Requests of one rank.
    struct rank_state
    {
        rank_state(std::uint32_t number,
                   rank_admission_settings const& settings)
            : rank(number), demand(settings.demand_window),
              served(settings.outcome_window), refused(settings.outcome_window),
              late(settings.outcome_window)
        {
        }

        std::uint32_t rank;
        arrival_rate demand;
        arrival_rate served;
        arrival_rate refused;
        arrival_rate late;
        /// Factor from the refusals of more urgent ranks.
        double threshold = 1;
        /// Bounds of the threshold.
        double min_threshold = 0;
        double max_threshold = 1;

        double bounded_threshold() const
        {
            return std::clamp(this->threshold, this->min_threshold,
                              this->max_threshold);
        }
    };

    rank_state& state_of(std::uint32_t rank, instant now);
    rank_state const* find_state(std::uint32_t rank) const;
    void advance(instant now);
    void advance_threshold(double& threshold, double refused,
                           std::chrono::duration<double> elapsed) const;
    double refused_share(double refused, double served) const;

    rank_admission_settings settings;
    // In ascending order of rank.
    std::vector<rank_state> ranks;
    customer_demand_counter customers;
    planned_shares shares;
    // Threshold of the requests beyond a planned share: it rises while those
    // within the shares are served, as the plan then admits too little.
    double threshold_beyond_share = 0;
    instant advanced_at{};
};

} // namespace bilberrylead::policy

#endif
