#include "tally.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace policy_bench
{

using bilberrylead::duration;
using bilberrylead::instant;
using bilberrylead::config::work_length;

namespace
{

constexpr double late_refusal_ms = 10;

double milliseconds(duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    std::size_t const place = std::min(
        values.size() - 1,
        static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(place),
                     values.end());
    return values[place];
}

double share(std::uint64_t part, std::size_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

tally::tally(std::vector<arrival> const& arrivals, duration deadline)
    : arrivals(arrivals), deadline(deadline)
{
}

bool tally::counts(std::uint32_t request) const
{
    return request >= this->arrivals.size() / 10;
}

void tally::answered(std::uint32_t request, instant at, duration extra)
{
    if (!this->counts(request))
    {
        return;
    }
    arrival const& one = this->arrivals[request];
    if (one.length == work_length::extended)
    {
        ++this->downloads_done;
        return;
    }
    duration const latency = at - one.at + extra;
    this->latencies.push_back(milliseconds(latency));
    this->late += latency > this->deadline ? 1 : 0;
    if (!one.heavy)
    {
        this->light_latencies.push_back(milliseconds(latency));
    }
}

void tally::refused(std::uint32_t request, instant at)
{
    arrival const& one = this->arrivals[request];
    if (!this->counts(request) || one.length == work_length::extended)
    {
        return;
    }
    this->refusals.push_back(milliseconds(at - one.at));
    this->light_refused += one.heavy ? 0 : 1;
}

summary tally::summarize()
{
    summary figures;
    std::size_t const all = this->latencies.size() + this->refusals.size();
    figures.p50 = quantile(this->latencies, 0.5);
    figures.p99 = quantile(this->latencies, 0.99);
    figures.p999 = quantile(this->latencies, 0.999);
    figures.light_p99 = quantile(this->light_latencies, 0.99);
    figures.not_run = share(this->refusals.size(), all);
    figures.light_not_run =
        share(this->light_refused,
              this->light_refused + this->light_latencies.size());
    figures.missed = share(this->late, this->latencies.size());
    figures.refused_p99 = quantile(this->refusals, 0.99);
    std::int64_t const waited =
        std::count_if(this->refusals.begin(), this->refusals.end(),
                      [](double ms)
                      {
                          return ms > late_refusal_ms;
                      });
    figures.refused_late = share(static_cast<std::uint64_t>(waited), all);
    duration const counted = this->arrivals.back().at -
                             this->arrivals[this->arrivals.size() / 10].at;
    figures.downloads = static_cast<double>(this->downloads_done) * 1000 /
                        milliseconds(counted);
    return figures;
}

} // namespace policy_bench
