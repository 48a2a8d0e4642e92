#ifndef BILBERRYLEAD_POLICY_PLANNED_SHARES_HPP
#define BILBERRYLEAD_POLICY_PLANNED_SHARES_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/admission_plan.hpp"
#include "bilberrylead/policy/followed_share.hpp"
#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/rank_admission_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace bilberrylead::policy
{

/// The shares of ranks and customers that the leader's plan admits at one entry
/// host, followed at a bounded rate, and the selection of the requests that are
/// within them. The plan loses weight with its age. The state is bounded (see
/// rank_admission_settings).
class planned_shares
{
public:
    /// Without a plan. `seed` determines which requests are within a share.
    planned_shares(rank_admission_settings const& settings, std::uint64_t seed);

    /// Applies a plan that was made `age` ago, less than the age from which
    /// plans are ignored.
    void apply(admission_plan const& plan, duration age, instant now);

    /// Decides whether a request, the next one of this rank and customer, is
    /// within its share.
    void select_next(std::uint32_t rank, customer_id const& customer,
                     instant now);

    /// True unless the request selected last for this rank and customer is
    /// beyond its share. True without a plan.
    bool is_within_share(std::uint32_t rank, customer_id const& customer,
                         instant now) const;

    /// Weight of the plan by its age, 0 to 1; 0 without a plan.
    double weight(instant now) const;

    /// Time since the plan was made; only with a weight over 0.
    duration age(instant now) const
    {
        return now - *this->planned_at;
    }

    /// Admitted share of a rank, 0 to 1, with regard to the plan's age.
    double share_of_rank(std::uint32_t rank, instant now) const;

    /// The same of a customer in a rank; empty if the plan does not name it.
    std::optional<double> share_of_customer(std::uint32_t rank,
                                            customer_id const& customer,
                                            instant now) const;

    /// Number of customers with a share.
    std::size_t customer_count() const
    {
        return this->customers.size();
    }

private:
    using customer_of_rank = std::pair<customer_id, std::uint32_t>;

    double effective(followed_share const& share, instant now) const;
    std::uint32_t const* find_rank(std::uint32_t rank) const;
    followed_share const* find(std::uint32_t rank,
                               customer_id const& customer) const;
    template <class Key>
    void follow(std::map<Key, followed_share>& shares, Key const& key,
                double share, std::size_t max_shares, instant now);
    template <class Key, class RankOf>
    void start_change(std::map<Key, followed_share>& shares,
                      admission_plan const& plan, RankOf rank_of, instant now);
    template <class Key>
    void remove_settled(std::map<Key, followed_share>& shares, instant now);

    rank_admission_settings settings;
    generator random;
    std::map<std::uint32_t, followed_share> ranks;
    std::map<customer_of_rank, followed_share> customers;
    // Time at which the plan was made; empty without a plan.
    std::optional<instant> planned_at;
};

} // namespace bilberrylead::policy

#endif
