#include "bilberrylead/policy/planned_shares.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bilberrylead::policy
{

namespace
{

/// A share as a number from 0 to 1; a value that is no number admits all.
double valid_share(double share)
{
    return std::isfinite(share) ? std::clamp(share, 0.0, 1.0) : 1.0;
}

/// Share that a plan gives to a rank. A rank that it does not contain is
/// admitted in full if it is more urgent than all contained ones, else like
/// the least urgent contained one.
double planned_share(admission_plan const& plan, std::uint32_t rank)
{
    double share = 1;
    bool is_most_urgent = true;
    for (rank_share const& each : plan.ranks)
    {
        share = valid_share(each.share);
        if (each.rank == rank)
        {
            return share;
        }
        is_most_urgent = is_most_urgent && rank < each.rank;
    }
    return is_most_urgent ? 1 : share;
}

} // namespace

planned_shares::planned_shares(rank_admission_settings const& settings,
                               std::uint64_t seed)
    : settings(settings), random(seed)
{
}

double planned_shares::weight(instant now) const
{
    if (!this->planned_at.has_value())
    {
        return 0;
    }
    duration const span =
        this->settings.ignored_age - this->settings.full_weight_age;
    double const left =
        static_cast<double>(
            (this->settings.ignored_age - this->age(now)).count()) /
        static_cast<double>(span.count());
    return std::clamp(left, 0.0, 1.0);
}

double planned_shares::effective(followed_share const& share, instant now) const
{
    return 1 - this->weight(now) *
                   (1 - share.at(now, this->settings.max_share_change_per_s));
}

/// The followed rank whose share applies to a rank, as in planned_share; null
/// if it is admitted in full.
std::uint32_t const* planned_shares::find_rank(std::uint32_t rank) const
{
    auto const exact = this->ranks.find(rank);
    if (exact != this->ranks.end())
    {
        return &exact->first;
    }
    std::uint32_t const* least_urgent = nullptr;
    bool is_most_urgent = true;
    for (auto const& [number, share] : this->ranks)
    {
        if (share.contained)
        {
            least_urgent = &number;
            is_most_urgent = is_most_urgent && rank < number;
        }
    }
    return is_most_urgent ? nullptr : least_urgent;
}

/// The share that applies to the requests of a customer in a rank; null if
/// they are admitted in full.
followed_share const* planned_shares::find(std::uint32_t rank,
                                           customer_id const& customer) const
{
    auto const own = this->customers.find({customer, rank});
    if (own != this->customers.end())
    {
        return &own->second;
    }
    std::uint32_t const* const found = this->find_rank(rank);
    return found == nullptr ? nullptr : &this->ranks.at(*found);
}

void planned_shares::select_next(std::uint32_t rank,
                                 customer_id const& customer, instant now)
{
    if (this->weight(now) == 0)
    {
        return;
    }
    auto const own = this->customers.find({customer, rank});
    std::uint32_t const* const found = this->find_rank(rank);
    if (own != this->customers.end())
    {
        own->second.select_next(this->effective(own->second, now));
    }
    else if (found != nullptr)
    {
        followed_share& share = this->ranks.at(*found);
        share.select_next(this->effective(share, now));
    }
}

bool planned_shares::is_within_share(std::uint32_t rank,
                                     customer_id const& customer,
                                     instant now) const
{
    followed_share const* const share =
        this->weight(now) == 0 ? nullptr : this->find(rank, customer);
    return share == nullptr || share->is_selected();
}

double planned_shares::share_of_rank(std::uint32_t rank, instant now) const
{
    std::uint32_t const* const found = this->find_rank(rank);
    return found == nullptr ? 1 : this->effective(this->ranks.at(*found), now);
}

std::optional<double> planned_shares::share_of_customer(
    std::uint32_t rank, customer_id const& customer, instant now) const
{
    auto const own = this->customers.find({customer, rank});
    return own == this->customers.end()
               ? std::nullopt
               : std::optional(this->effective(own->second, now));
}

void planned_shares::apply(admission_plan const& plan, duration age,
                           instant now)
{
    if (this->weight(now) == 0)
    {
        this->ranks.clear();
        this->customers.clear();
    }
    this->start_change(
        this->ranks, plan,
        [](std::uint32_t rank)
        {
            return rank;
        },
        now);
    for (rank_share const& each : plan.ranks)
    {
        this->follow(this->ranks, each.rank, each.share,
                     this->settings.max_ranks, now);
    }
    this->remove_settled(this->ranks, now);
    this->start_change(
        this->customers, plan,
        [](customer_of_rank const& key)
        {
            return key.second;
        },
        now);
    for (customer_share_of_rank const& each : plan.customers)
    {
        this->follow(this->customers, {each.customer, each.rank}, each.share,
                     this->settings.max_planned_customers, now);
    }
    this->remove_settled(this->customers, now);
    this->planned_at = now - std::max(age, duration::zero());
}

/// Lets all shares approach what the plan gives to their ranks.
template <class Key, class RankOf>
void planned_shares::start_change(std::map<Key, followed_share>& shares,
                                  admission_plan const& plan, RankOf rank_of,
                                  instant now)
{
    for (auto& [key, share] : shares)
    {
        share.contained = false;
        share.set_target(planned_share(plan, rank_of(key)),
                         this->settings.max_share_change_per_s, now);
    }
}

/// Follows a share that the plan contains, unless there are too many.
template <class Key>
void planned_shares::follow(std::map<Key, followed_share>& shares,
                            Key const& key, double share,
                            std::size_t max_shares, instant now)
{
    if (!shares.contains(key) && shares.size() >= max_shares)
    {
        return;
    }
    followed_share& followed =
        shares.try_emplace(key, this->random.unit(), now).first->second;
    followed.contained = true;
    followed.set_target(valid_share(share),
                        this->settings.max_share_change_per_s, now);
}

/// Removes shares that the plan does not contain, once they have reached what
/// it gives to their ranks.
template <class Key>
void planned_shares::remove_settled(std::map<Key, followed_share>& shares,
                                    instant now)
{
    double const max_change = this->settings.max_share_change_per_s;
    std::erase_if(shares,
                  [now, max_change](auto const& entry)
                  {
                      return !entry.second.contained &&
                             entry.second.is_settled(now, max_change);
                  });
}

} // namespace bilberrylead::policy
