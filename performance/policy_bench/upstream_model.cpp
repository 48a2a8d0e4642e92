#include "upstream_model.hpp"

namespace policy_bench
{

using bilberrylead::duration;

namespace
{

constexpr std::uint32_t slow_upstream = 0;
constexpr std::uint32_t lying_upstream = 1;
constexpr std::uint32_t cold_start_requests = 200;
constexpr double cold_factor = 5;

} // namespace

upstream_model::upstream_model(std::uint32_t number, std::uint32_t slots,
                               scenario const& what)
    : slots(slots), factor(number == slow_upstream ? what.slow_factor : 1),
      lies(number == lying_upstream && what.lying_report)
{
}

bool upstream_model::take(std::uint32_t request)
{
    if (this->running == this->slots)
    {
        this->queue.push_back(request);
        return false;
    }
    ++this->running;
    return true;
}

std::optional<std::uint32_t> upstream_model::finish()
{
    if (this->queue.empty())
    {
        --this->running;
        return std::nullopt;
    }
    std::uint32_t const next = this->queue.front();
    this->queue.pop_front();
    return next;
}

duration upstream_model::run_time(duration work)
{
    double times = this->factor;
    if (this->cold_requests > 0)
    {
        --this->cold_requests;
        times *= cold_factor;
    }
    return duration(
        static_cast<std::int64_t>(static_cast<double>(work.count()) * times));
}

void upstream_model::restart()
{
    this->cold_requests = cold_start_requests;
}

std::uint32_t upstream_model::held() const
{
    return this->running + static_cast<std::uint32_t>(this->queue.size());
}

std::uint32_t upstream_model::reported() const
{
    return this->lies ? 0 : this->held();
}

} // namespace policy_bench
