#include "bilberrylead/policy/access_probability.hpp"

#include "bilberrylead/policy/seconds.hpp"

#include <algorithm>
#include <cmath>

namespace bilberrylead::policy
{

namespace
{

/// Weight of the initial estimate of the demand, in requests.
constexpr double prior_requests = 2;
/// Smallest number of requests from which the demand is estimated.
constexpr double min_requests = 0.5;

} // namespace

access_probability::access_probability(
    access_probability_settings const& settings)
    : settings(settings)
{
}

void access_probability::restart(double rate, double demand)
{
    this->base = std::min(1.0, rate / demand);
    this->sent = prior_requests;
    this->exposure = prior_requests / demand;
}

void access_probability::record_sent(double count)
{
    this->sent += count;
}

void access_probability::advance(duration elapsed, duration available,
                                 double rate, report_state reports)
{
    if (elapsed <= duration::zero())
    {
        return;
    }
    double const passed = to_seconds(elapsed);
    double const decay = std::exp(-passed / to_seconds(this->settings.memory));
    this->sent *= decay;
    this->exposure *= decay;
    double const growth =
        std::exp((reports == report_state::timely
                      ? this->settings.max_growth_per_second
                      : this->settings.max_cautious_growth_per_second) *
                 passed);
    if (reports == report_state::missing)
    {
        // What others have sent meanwhile is unknown. Without any growth the
        // hosts might never send, and so never report, anything again.
        this->base = std::min(1.0, this->base * growth);
        return;
    }
    this->exposure += to_seconds(available) * this->value(reports);
    double const wanted =
        this->exposure * rate / std::max(this->sent, min_requests);
    double const decrease =
        std::exp(-this->settings.max_decrease_per_second * passed);
    this->base = std::min(
        1.0, std::clamp(wanted, this->base * decrease, this->base * growth));
}

double access_probability::value(report_state reports) const
{
    return std::min(1.0, this->base * (reports == report_state::timely
                                           ? this->settings.offered
                                           : this->settings.cautious_offered));
}

} // namespace bilberrylead::policy
