#include "bilberrylead/policy/momentary_slowdown.hpp"

#include "bilberrylead/policy/report_validity.hpp"

#include <algorithm>

namespace bilberrylead::policy
{

namespace
{

/// The bounds of the lasting slowdown (upstream_estimate). Without them one
/// false report of 1 % would multiply the usual run time of all upstreams.
constexpr double min_factor = 0.25;
constexpr double max_factor = 16;

} // namespace

void momentary_slowdown::record(double factor, report_validity& validity,
                                instant now)
{
    double const bounded = std::clamp(factor, min_factor, max_factor);
    if (this->reported_at.has_value())
    {
        validity.record(this->reported, bounded, now - *this->reported_at);
    }
    this->reported = bounded;
    this->reported_at = now;
}

double momentary_slowdown::factor(report_validity const& validity,
                                  instant now) const
{
    return this->reported_at.has_value()
               ? 1.0 + validity.weight(now - *this->reported_at) *
                           (this->reported - 1.0)
               : 1.0;
}

} // namespace bilberrylead::policy
