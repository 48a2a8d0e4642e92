#include "upstream_model.hpp"

namespace policy_bench
{

using bilberrylead::duration;

namespace
{

constexpr std::uint32_t slow_machine = 0;
constexpr std::uint32_t lying_machine = 1;
constexpr std::uint32_t cold_machine = 2;
constexpr std::uint32_t cold_start_requests = 200;
constexpr double cold_factor = 5;

} // namespace

upstream_model::upstream_model(std::uint32_t machine, std::uint32_t slots,
                               scenario const& what)
    : slots(slots), factor(machine == slow_machine ? what.slow_factor : 1),
      lies(machine == lying_machine && what.lying_report),
      restarts(machine == cold_machine && what.cold_start)
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
    this->cold_requests = this->restarts ? cold_start_requests : 0;
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
