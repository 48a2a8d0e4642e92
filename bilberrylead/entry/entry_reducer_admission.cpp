#include "bilberrylead/entry/entry_reducer.hpp"

#include <cstddef>
#include <iterator>
#include <map>
#include <utility>

/// Admission by rank and plan.
namespace bilberrylead::entry
{

namespace
{

/// Ranks with counters of their own for each service.
constexpr std::size_t max_counted_ranks = 16;

/// True if the request was not run because capacity was insufficient.
bool is_refused_for_capacity(live_request const& request)
{
    return request.outcome == request_outcome::not_run &&
           (request.reason == refusal_reason::no_room ||
            request.reason == refusal_reason::upstream_refused ||
            request.reason == refusal_reason::deadline);
}

} // namespace

policy::rank_admission& entry_reducer::admission_of(service_id const& service)
{
    return this->admissions
        .try_emplace(service, policy::rank_admission_settings(),
                     this->placement_seed + this->admissions.size())
        .first->second;
}

rank_counters& entry_reducer::rank_counters_of(live_request const& request)
{
    std::map<std::uint32_t, rank_counters>& ranks =
        this->current_counters.ranks[request.service];
    if (ranks.size() < max_counted_ranks || ranks.contains(request.rank))
    {
        return ranks[request.rank];
    }
    return std::prev(ranks.end())->second;
}

void entry_reducer::record_offered(live_request& request)
{
    if (this->host_settings.admission == config::admission_mode::none)
    {
        return;
    }
    policy::rank_admission& admission = this->admission_of(request.service);
    admission.record_offered(request.rank, request.customer, this->now);
    request.wait_tolerance =
        admission.tolerance(request.rank, request.customer, this->now);
    request.within_share =
        admission.is_within_share(request.rank, request.customer, this->now);
    ++this->rank_counters_of(request).offered;
}

void entry_reducer::record_admission_outcome(live_request const& request)
{
    if (this->host_settings.admission == config::admission_mode::none)
    {
        return;
    }
    policy::rank_admission& admission = this->admission_of(request.service);
    if (is_refused_for_capacity(request))
    {
        admission.record_refused(request.rank, this->now, request.within_share);
        ++this->rank_counters_of(request).refused;
        return;
    }
    if (request.outcome != request_outcome::answered ||
        request.time_to_head == duration::zero())
    {
        return;
    }
    admission.record_served(request.rank, this->now);
    ++this->rank_counters_of(request).answered;
    // An answer that is late for another reason, such as a cold run or a slow
    // upstream, says nothing about the capacity.
    instant const answered_at = request.sent_at + request.time_to_head;
    if (answered_at > request.latency_target &&
        answered_at - request.expected_wait <= request.latency_target)
    {
        admission.record_late(request.rank, this->now);
        ++this->rank_counters_of(request).late;
    }
}

std::optional<admission_report>
entry_reducer::report_admission(live_request const& request) const
{
    auto const admission = this->admissions.find(request.service);
    if (admission == this->admissions.end() ||
        !is_refused_for_capacity(request))
    {
        return std::nullopt;
    }
    admission_report report;
    report.rank = request.rank;
    report.wait_tolerance = request.wait_tolerance;
    report.basis =
        admission->second.basis(request.rank, request.customer, this->now);
    if (report.basis.plan_age.has_value())
    {
        report.source = this->admission_source;
    }
    return report;
}

void entry_reducer::on(admission_plan_received const& event)
{
    if (this->host_settings.admission != config::admission_mode::by_plan)
    {
        return;
    }
    this->admission_source = event.source;
    region_id const own_region = this->own_region();
    for (policy::admission_plan const& plan : event.plans)
    {
        // Plans for services that are not configured here are not kept.
        if (plan.region == own_region &&
            this->find_service(plan.service) != nullptr)
        {
            this->admission_of(plan.service).apply(plan, event.age, this->now);
        }
    }
}

std::vector<policy::admission_demand> entry_reducer::admission_demands() const
{
    std::vector<policy::admission_demand> demands;
    if (this->host_settings.admission != config::admission_mode::by_plan ||
        this->contact.is_lost())
    {
        // Without contact to the upstreams, the hosts that carry the requests
        // report their demand.
        return demands;
    }
    for (auto const& [service, admission] : this->admissions)
    {
        auto const state = this->service_states.find(service);
        if (state == this->service_states.end())
        {
            continue;
        }
        policy::admission_demand demand =
            admission.demand(state->second.usual_run(), this->now);
        demand.service = service;
        if (!demand.ranks.empty())
        {
            demands.push_back(std::move(demand));
        }
    }
    return demands;
}

} // namespace bilberrylead::entry
