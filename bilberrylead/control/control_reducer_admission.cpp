#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/control/refusals.hpp"
#include "bilberrylead/link/admission_conversion.hpp"
#include "bilberrylead/policy/admission_region.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

/// Planning of which requests are admitted while capacity is insufficient.
namespace bilberrylead::control
{

namespace
{

/// Sums of what a plan admits of the demand of all regions.
class status_builder
{
public:
    void add(policy::admission_region const& region,
             policy::admission_plan const& plan)
    {
        std::map<std::uint32_t, double> rank_shares;
        for (auto const& [rank, slots] : region.ranks)
        {
            auto const above =
                std::find_if(plan.ranks.rbegin(), plan.ranks.rend(),
                             [rank = rank](policy::rank_share const& each)
                             {
                                 return each.rank <= rank;
                             });
            if (above != plan.ranks.rend())
            {
                rank_sum& sum = this->ranks[above->rank];
                sum.demand += slots;
                sum.admitted += slots * above->share;
                rank_shares[above->rank] = above->share;
            }
        }
        for (policy::customer_share_of_rank const& each : plan.customers)
        {
            auto const demand =
                region.customers.find({each.rank, each.customer});
            auto const rank = rank_shares.find(each.rank);
            if (demand == region.customers.end() || rank == rank_shares.end())
            {
                continue;
            }
            this->ranks[each.rank].admitted +=
                demand->second * (each.share - rank->second);
            if (each.share < rank->second)
            {
                admission_customer_status& sum =
                    this->customers[{each.rank, each.customer}];
                sum.customer = each.customer;
                sum.rank = each.rank;
                double const admitted =
                    sum.demand * sum.share + demand->second * each.share;
                sum.demand += demand->second;
                sum.share = sum.demand > 0 ? admitted / sum.demand : 1;
            }
        }
    }

    void finish(admission_status& status, std::size_t max_customers)
    {
        for (auto& [rank, sum] : this->ranks)
        {
            if (sum.demand > 0)
            {
                status.ranks.push_back(
                    {rank, sum.demand,
                     std::clamp(sum.admitted / sum.demand, 0.0, 1.0)});
            }
        }
        for (auto& [key, sum] : this->customers)
        {
            if (sum.demand > 0)
            {
                status.customers.push_back(sum);
            }
        }
        std::sort(status.customers.begin(), status.customers.end(),
                  [](admission_customer_status const& left,
                     admission_customer_status const& right)
                  {
                      return left.demand * (1 - left.share) >
                             right.demand * (1 - right.share);
                  });
        if (status.customers.size() > max_customers)
        {
            status.customers.resize(max_customers);
        }
    }

private:
    struct rank_sum
    {
        double demand = 0;
        double admitted = 0;
    };

    std::map<std::uint32_t, rank_sum> ranks;
    std::map<std::pair<std::uint32_t, customer_id>, admission_customer_status>
        customers;
};

} // namespace

void control_reducer::record_admission_report(
    host_id const& host, link::entry_presence const& message)
{
    if (this->settings.admission == config::admission_mode::by_plan &&
        message.admission.has_value())
    {
        this->admission_demands.record(host, message.region, *message.admission,
                                       this->time);
    }
}

bool control_reducer::has_enough_admission_reports() const
{
    std::size_t reporting = 0;
    for (auto const& [host, row] : this->entry_hosts.hosts())
    {
        reporting += this->admission_demands.hosts().contains(host) ? 1 : 0;
    }
    double const present =
        static_cast<double>(this->entry_hosts.hosts().size());
    double const recent = static_cast<double>(this->peak_entry_hosts);
    double const count = static_cast<double>(reporting);
    return reporting > 0 &&
           count >= present * this->settings.min_reporting_present &&
           count >= recent * this->settings.min_reporting_recent;
}

std::map<region_id, link::admission_shares>
control_reducer::plan_admission(region_load_table const& loads,
                                region_load_table::share_table const& shares)
{
    std::map<region_id, link::admission_shares> plans;
    this->admission_demands.expire(this->time);
    // A leader without a lease may have been replaced, and then knows the
    // demand of only a part of the entry hosts.
    if (this->settings.admission != config::admission_mode::by_plan ||
        !this->replica.holds_lease(this->time) ||
        !this->has_enough_admission_reports())
    {
        return plans;
    }
    std::map<service_id, std::vector<policy::admission_region>> services;
    for (auto const& [service, capacities] : loads.services())
    {
        std::vector<policy::admission_region>& regions = services[service];
        regions.resize(capacities.size());
        for (auto const& [region, index] : loads.region_indexes())
        {
            regions[index].region = region;
            regions[index].slots = capacities[index].slots;
        }
    }
    for (auto const& [host, row] : this->admission_demands.hosts())
    {
        auto const index = loads.region_indexes().find(row.region);
        for (link::admission_rows const& each : row.services)
        {
            auto const found = services.find(each.service);
            if (found != services.end() &&
                index != loads.region_indexes().end())
            {
                found->second[index->second].add(link::to_demand(each));
            }
        }
    }

    this->admission_number += 1;
    this->admission_planned_at = this->time;
    this->admission_statuses.clear();
    for (auto const& [region, index] : loads.region_indexes())
    {
        plans[region].number = this->admission_number;
    }
    for (auto const& [service, regions] : services)
    {
        std::vector<policy::admission_plan> const planned =
            this->admission_planning.plan(service, regions, shares.at(service));
        if (planned.empty() ||
            this->admission_statuses.size() >= link::max_admission_services)
        {
            continue;
        }
        admission_status status;
        status.service = service;
        status_builder builder;
        for (std::size_t index = 0; index < planned.size(); ++index)
        {
            plans[planned[index].region].services.push_back(
                link::to_rows(planned[index]));
            status.slots += regions[index].slots;
            builder.add(regions[index], planned[index]);
        }
        builder.finish(status, link::max_admission_customers);
        this->admission_statuses.push_back(std::move(status));
    }
    for (auto& [region, plan] : plans)
    {
        link::limit_customers(plan.services);
    }
    return plans;
}

void control_reducer::hold_admission(std::uint64_t term,
                                     link::admission_shares const& shares)
{
    if (this->settings.admission != config::admission_mode::by_plan)
    {
        return;
    }
    std::pair<std::uint64_t, std::uint64_t> const held =
        this->current_admission.has_value()
            ? std::pair(this->current_admission->term,
                        this->current_admission->shares.number)
            : std::pair<std::uint64_t, std::uint64_t>(0, 0);
    if (std::pair(term, shares.number) > held)
    {
        this->current_admission = held_admission{term, shares, this->time};
    }
}

link::region_plan control_reducer::plan_for_new_host() const
{
    link::region_plan content = *this->current_plan;
    if (this->current_admission.has_value() &&
        this->current_admission->term == content.term &&
        this->current_admission->age(this->time) <
            this->settings.max_admission_age)
    {
        content.admission = this->current_admission->shares;
        content.admission->age = this->current_admission->age(this->time);
    }
    return content;
}

void control_reducer::handle_request(operator_request_received const& received,
                                     read_admission const&)
{
    if (this->replica.role() != agreement::role::leader)
    {
        this->answer(received.number, not_leader(this->replica.leader()));
        return;
    }
    admission_reply reply;
    reply.by_plan = this->settings.admission == config::admission_mode::by_plan;
    reply.term = this->replica.term();
    reply.hosts = this->entry_hosts.hosts().size();
    reply.reporting = this->admission_demands.hosts().size();
    if (this->admission_planned_at >= this->leader_since &&
        this->admission_number > 0)
    {
        reply.number = this->admission_number;
        reply.age = this->time - this->admission_planned_at;
        reply.services = this->admission_statuses;
    }
    this->answer(received.number, std::move(reply));
}

} // namespace bilberrylead::control
