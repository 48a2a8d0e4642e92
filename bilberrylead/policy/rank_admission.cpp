#include "bilberrylead/policy/rank_admission.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

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

/// A share as a number from 0 to 1; a value that is no number admits all.
double valid_share(double share)
{
    return std::isfinite(share) ? std::clamp(share, 0.0, 1.0) : 1.0;
}

} // namespace

rank_admission::rank_admission(rank_admission_settings const& settings,
                               std::uint64_t seed)
    : settings(settings), random(seed)
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
        this->count_customer(rank, customer, now);
    }
    this->select_next(rank, customer, now);
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

void rank_admission::count_customer(std::uint32_t rank,
                                    customer_id const& customer, instant now)
{
    auto smallest = this->customers.end();
    double smallest_rate = 0;
    for (auto each = this->customers.begin(); each != this->customers.end();
         ++each)
    {
        if (each->rank == rank && each->customer == customer)
        {
            each->demand.add(now);
            return;
        }
        double const rate = each->demand.per_second(now);
        if (smallest == this->customers.end() || rate < smallest_rate)
        {
            smallest = each;
            smallest_rate = rate;
        }
    }
    if (this->customers.size() < this->settings.max_tracked_customers)
    {
        this->customers.push_back({customer, rank,
                                   arrival_rate(this->settings.demand_window),
                                   arrival_rate(this->settings.demand_window)});
        this->customers.back().demand.add(now);
        return;
    }
    smallest->customer = customer;
    smallest->rank = rank;
    smallest->error = smallest->demand;
    smallest->demand.add(now);
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
        (1 - this->plan_weight(now));
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

double rank_admission::plan_weight(instant now) const
{
    if (!this->planned_at.has_value())
    {
        return 0;
    }
    duration const age = now - *this->planned_at;
    duration const span =
        this->settings.ignored_age - this->settings.full_weight_age;
    double const left =
        static_cast<double>((this->settings.ignored_age - age).count()) /
        static_cast<double>(span.count());
    return std::clamp(left, 0.0, 1.0);
}

/// The share with regard to the age of the plan.
double rank_admission::effective_share(followed_share const& share,
                                       instant now) const
{
    return 1 - this->plan_weight(now) *
                   (1 - share.at(now, this->settings.max_share_change_per_s));
}

std::map<std::uint32_t, followed_share>::const_iterator
rank_admission::find_rank_share(std::uint32_t rank) const
{
    auto const exact = this->planned_for_ranks.find(rank);
    if (exact != this->planned_for_ranks.end())
    {
        return exact;
    }
    // Ranks that are not contained are admitted in full if they are more urgent
    // than all contained ones, else like the least urgent contained one.
    auto least_urgent = this->planned_for_ranks.end();
    bool is_most_urgent = true;
    for (auto each = this->planned_for_ranks.begin();
         each != this->planned_for_ranks.end(); ++each)
    {
        if (each->second.contained)
        {
            least_urgent = each;
            is_most_urgent = is_most_urgent && rank < each->first;
        }
    }
    return is_most_urgent ? this->planned_for_ranks.end() : least_urgent;
}

/// True if the next request is within the planned share.
bool rank_admission::select_next(std::uint32_t rank,
                                 customer_id const& customer, instant now)
{
    if (this->plan_weight(now) == 0)
    {
        return true;
    }
    auto const own = this->planned_for_customers.find({customer, rank});
    if (own != this->planned_for_customers.end())
    {
        own->second.select_next(this->effective_share(own->second, now));
        return own->second.is_selected();
    }
    auto const found = this->find_rank_share(rank);
    if (found == this->planned_for_ranks.end())
    {
        return true;
    }
    followed_share& share = this->planned_for_ranks.find(found->first)->second;
    share.select_next(this->effective_share(share, now));
    return share.is_selected();
}

bool rank_admission::is_within_share(std::uint32_t rank,
                                     customer_id const& customer,
                                     instant now) const
{
    if (this->plan_weight(now) == 0)
    {
        return true;
    }
    auto const own = this->planned_for_customers.find({customer, rank});
    if (own != this->planned_for_customers.end())
    {
        return own->second.is_selected();
    }
    auto const found = this->find_rank_share(rank);
    return found == this->planned_for_ranks.end() ||
           found->second.is_selected();
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
    if (this->plan_weight(now) == 0)
    {
        return basis;
    }
    basis.plan_age = now - *this->planned_at;
    auto const found = this->find_rank_share(rank);
    basis.share = found == this->planned_for_ranks.end()
                      ? 1
                      : this->effective_share(found->second, now);
    auto const own = this->planned_for_customers.find({customer, rank});
    if (own != this->planned_for_customers.end())
    {
        basis.customer_share = this->effective_share(own->second, now);
    }
    return basis;
}

/// Share that a plan gives to a rank.
double rank_admission::planned_rank_share(admission_plan const& plan,
                                          std::uint32_t rank) const
{
    double share = 1;
    for (rank_share const& each : plan.ranks)
    {
        if (each.rank == rank)
        {
            return valid_share(each.share);
        }
        share = valid_share(each.share);
    }
    bool const is_most_urgent =
        std::all_of(plan.ranks.begin(), plan.ranks.end(),
                    [rank](rank_share const& each)
                    {
                        return rank < each.rank;
                    });
    return is_most_urgent ? 1 : share;
}

void rank_admission::apply(admission_plan const& plan, duration age,
                           instant now)
{
    if (age >= this->settings.ignored_age)
    {
        return;
    }
    this->advance(now);
    if (this->plan_weight(now) == 0)
    {
        this->planned_for_ranks.clear();
        this->planned_for_customers.clear();
    }
    this->apply_ranks(plan, now);
    this->apply_customers(plan, now);
    this->planned_at = now - std::max(age, duration::zero());
}

void rank_admission::apply_ranks(admission_plan const& plan, instant now)
{
    double const max_change = this->settings.max_share_change_per_s;
    for (auto& [rank, share] : this->planned_for_ranks)
    {
        share.contained = false;
        share.set_target(this->planned_rank_share(plan, rank), max_change, now);
    }
    for (rank_share const& each : plan.ranks)
    {
        if (!this->planned_for_ranks.contains(each.rank) &&
            this->planned_for_ranks.size() >= this->settings.max_ranks)
        {
            continue;
        }
        followed_share& share =
            this->planned_for_ranks
                .try_emplace(each.rank, this->random.unit(), now)
                .first->second;
        share.contained = true;
        share.set_target(valid_share(each.share), max_change, now);
    }
    std::erase_if(this->planned_for_ranks,
                  [now, max_change](auto const& entry)
                  {
                      return !entry.second.contained &&
                             entry.second.is_settled(now, max_change);
                  });
}

void rank_admission::apply_customers(admission_plan const& plan, instant now)
{
    double const max_change = this->settings.max_share_change_per_s;
    for (auto& [key, share] : this->planned_for_customers)
    {
        share.contained = false;
        share.set_target(this->planned_rank_share(plan, key.second), max_change,
                         now);
    }
    for (customer_share_of_rank const& each : plan.customers)
    {
        customer_of_rank const key{each.customer, each.rank};
        if (!this->planned_for_customers.contains(key) &&
            this->planned_for_customers.size() >=
                this->settings.max_planned_customers)
        {
            continue;
        }
        followed_share& share = this->planned_for_customers
                                    .try_emplace(key, this->random.unit(), now)
                                    .first->second;
        share.contained = true;
        share.set_target(valid_share(each.share), max_change, now);
    }
    std::erase_if(this->planned_for_customers,
                  [now, max_change](auto const& entry)
                  {
                      return !entry.second.contained &&
                             entry.second.is_settled(now, max_change);
                  });
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
    for (customer_state const& each : this->customers)
    {
        double const rate =
            each.demand.per_second(now) - each.error.per_second(now);
        if (rate >= min_rate)
        {
            demand.customers.push_back({each.customer, each.rank, rate * run});
        }
    }
    std::sort(demand.customers.begin(), demand.customers.end(),
              [](customer_demand const& one, customer_demand const& other)
              {
                  return one.slots > other.slots;
              });
    if (demand.customers.size() > this->settings.max_reported_customers)
    {
        demand.customers.resize(this->settings.max_reported_customers);
    }
    return demand;
}

} // namespace bilberrylead::policy
