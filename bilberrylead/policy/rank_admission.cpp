#include "bilberrylead/policy/rank_admission.hpp"

#include <algorithm>
#include <chrono>

namespace bilberrylead::policy
{

namespace
{

/// Thresholds are updated at most this often; they change by a few hundredths
/// in that time.
constexpr duration update_interval = std::chrono::milliseconds(20);
/// Requests per second below which a rank or customer is not counted as
/// present.
constexpr double min_rate = 0.01;

} // namespace

rank_admission::rank_admission(rank_admission_settings const& settings,
                               std::uint64_t seed)
    : settings(settings),
      customers(settings.demand_window, settings.max_tracked_customers),
      shares(settings, seed)
{
}

rank_admission::rank_state& rank_admission::state_of(std::uint32_t rank,
                                                     instant now)
{
    auto const place =
        std::lower_bound(this->ranks.begin(), this->ranks.end(), rank,
                         [](rank_state const& state, std::uint32_t wanted)
                         {
                             return state.rank < wanted;
                         });
    if (place != this->ranks.end() && place->rank == rank)
    {
        return *place;
    }
    if (this->ranks.size() < this->settings.max_ranks)
    {
        return *this->ranks.emplace(place, rank, this->settings);
    }
    if (place == this->ranks.end())
    {
        return this->ranks.back();
    }
    // The two least urgent ranks are counted together from now on.
    rank_state const last = this->ranks.back();
    std::size_t const index =
        static_cast<std::size_t>(place - this->ranks.begin());
    this->ranks.pop_back();
    this->ranks.emplace(this->ranks.begin() +
                            static_cast<std::ptrdiff_t>(index),
                        rank, this->settings);
    rank_state& least_urgent = this->ranks.back();
    least_urgent.demand.merge(last.demand, now);
    least_urgent.served.merge(last.served, now);
    least_urgent.refused.merge(last.refused, now);
    least_urgent.late.merge(last.late, now);
    return this->ranks[index];
}

rank_admission::rank_state const*
rank_admission::find_state(std::uint32_t rank) const
{
    // Ranks beyond the last one of a full list are counted with it.
    bool const is_full = this->ranks.size() >= this->settings.max_ranks;
    for (rank_state const& state : this->ranks)
    {
        if (state.rank == rank)
        {
            return &state;
        }
    }
    return is_full && rank > this->ranks.back().rank ? &this->ranks.back()
                                                     : nullptr;
}

void rank_admission::record_offered(std::uint32_t rank,
                                    customer_id const& customer, instant now)
{
    this->advance(now);
    rank_state& state = this->state_of(rank, now);
    state.demand.add(now);
    if (!customer.empty())
    {
        this->customers.record(rank, customer, now);
    }
    this->shares.select_next(rank, customer, now);
}

void rank_admission::record_served(std::uint32_t rank, instant now)
{
    this->state_of(rank, now).served.add(now);
    this->advance(now);
}

void rank_admission::record_refused(std::uint32_t rank, instant now,
                                    bool within_share)
{
    if (within_share)
    {
        this->state_of(rank, now).refused.add(now);
    }
    this->advance(now);
}

void rank_admission::record_late(std::uint32_t rank, instant now)
{
    this->state_of(rank, now).late.add(now);
    this->advance(now);
}

/// Refused share; one more request counts as served, so that the first refusal
/// at an idle host does not count as a share of 1.
double rank_admission::refused_share(double refused, double served) const
{
    double const one_request = 1 / this->settings.outcome_window.count();
    return refused / (refused + served + one_request);
}

/// Changes a threshold that depends on the refused share of others.
void rank_admission::advance_threshold(
    double& threshold, double refused,
    std::chrono::duration<double> elapsed) const
{
    double const beyond_tolerated = refused - this->settings.tolerated_refusals;
    double const change =
        beyond_tolerated > 0 ? -std::min(this->settings.max_fall_per_s,
                                         this->settings.fall_per_refused_share *
                                             beyond_tolerated)
                             : this->settings.rise_per_s;
    threshold = std::clamp(threshold + change * elapsed.count(), 0.0, 1.0);
}

/// Updates the thresholds.
///
/// A rank's threshold falls while any more urgent rank is refused more than the
/// plan intends. This needs refusals of urgent requests, of which a host with a
/// few requests a second sees one in many seconds. Refusals of all ranks are
/// more frequent: while they last, each rank's threshold is bounded in advance,
/// the less urgent the lower. The bound is not needed while a plan is followed.
void rank_admission::advance(instant now)
{
    if (now - this->advanced_at < update_interval)
    {
        return;
    }
    std::chrono::duration<double> const elapsed = this->advanced_at == instant{}
                                                      ? duration::zero()
                                                      : now - this->advanced_at;
    this->advanced_at = now;
    double total_refused = 0;
    double total_served = 0;
    double most_refused = 0;
    int present_ranks = 0;
    for (rank_state& state : this->ranks)
    {
        this->advance_threshold(state.threshold, most_refused, elapsed);
        double const refused = state.refused.per_second(now);
        double const served = state.served.per_second(now);
        double const late = std::min(served, state.late.per_second(now)) *
                            this->settings.late_weight;
        most_refused = std::max(
            most_refused, this->refused_share(refused + late, served - late));
        total_refused += refused;
        total_served += served;
        present_ranks += state.demand.per_second(now) >= min_rate ? 1 : 0;
    }
    this->advance_threshold(this->threshold_beyond_share, most_refused,
                            elapsed);
    // Refusals up to the tolerated share do not count, so that the thresholds
    // return to exactly 1.
    double const pressure =
        std::clamp((this->refused_share(total_refused, total_served) -
                    this->settings.tolerated_refusals) /
                       this->settings.full_pressure,
                   0.0, 1.0) *
        (1 - this->shares.weight(now));
    int position = 0;
    for (rank_state& state : this->ranks)
    {
        double const more_urgent =
            present_ranks == 0
                ? 0
                : std::min(1.0, static_cast<double>(position) / present_ranks);
        state.max_threshold = 1 - pressure * more_urgent;
        state.min_threshold =
            std::min(state.max_threshold,
                     this->settings.min_threshold * (1 - more_urgent));
        position += state.demand.per_second(now) >= min_rate ? 1 : 0;
    }
}

bool rank_admission::is_within_share(std::uint32_t rank,
                                     customer_id const& customer,
                                     instant now) const
{
    return this->shares.is_within_share(rank, customer, now);
}

double rank_admission::tolerance(std::uint32_t rank,
                                 customer_id const& customer, instant now) const
{
    rank_state const* const state = this->find_state(rank);
    double const threshold = state == nullptr ? 1 : state->bounded_threshold();
    return this->is_within_share(rank, customer, now)
               ? threshold
               : std::min(threshold,
                          std::max(this->threshold_beyond_share,
                                   this->settings.min_threshold_beyond_share));
}

admission_basis rank_admission::basis(std::uint32_t rank,
                                      customer_id const& customer,
                                      instant now) const
{
    admission_basis basis;
    rank_state const* const state = this->find_state(rank);
    if (state != nullptr)
    {
        basis.threshold = state->bounded_threshold();
    }
    if (this->shares.weight(now) > 0)
    {
        basis.plan_age = this->shares.age(now);
        basis.share = this->shares.share_of_rank(rank, now);
        basis.customer_share =
            this->shares.share_of_customer(rank, customer, now);
    }
    return basis;
}

void rank_admission::apply(admission_plan const& plan, duration age,
                           instant now)
{
    if (age >= this->settings.ignored_age)
    {
        return;
    }
    this->advance(now);
    this->shares.apply(plan, age, now);
}

admission_demand rank_admission::demand(duration usual_run, instant now) const
{
    double const run =
        std::chrono::duration_cast<std::chrono::duration<double>>(usual_run)
            .count();
    admission_demand demand;
    for (rank_state const& state : this->ranks)
    {
        double const rate = state.demand.per_second(now);
        if (rate >= min_rate)
        {
            demand.ranks.push_back({state.rank, rate * run});
        }
    }
    demand.customers = this->customers.largest(
        run, min_rate, this->settings.max_reported_customers, now);
    return demand;
}

} // namespace bilberrylead::policy
