#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_IDEAL_MODEL_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_IDEAL_MODEL_HPP

#include "bilberrylead/policy/admission_queue.hpp"
#include "tally.hpp"
#include "timeline.hpp"
#include "upstream_model.hpp"

#include <cstdint>
#include <vector>

namespace policy_bench
{

/// The lower limit: one queue in order of arrival in front of all slots, no
/// links, and full knowledge of which slots are free and which upstream is
/// slow. Its bound on the wait and on downloads is that of the product.
class ideal_model
{
public:
    /// Makes a model.
    ideal_model(profile const& where, scenario const& what,
                std::vector<arrival> const& arrivals);

    /// Plays all arrivals to their end.
    summary run();

private:
    struct event
    {
        bool ends = false;
        std::uint32_t request = 0;
    };

    void arrive(std::uint32_t request);
    void serve();
    void start(std::uint32_t request);
    bilberrylead::policy::slot_pool pool() const;
    bool pick(bilberrylead::duration wait, std::uint32_t& upstream) const;

    profile const& where;
    scenario const& what;
    std::vector<arrival> const& arrivals;
    tally result;
    bilberrylead::policy::admission_queue queue;
    std::vector<upstream_model> upstreams;
    std::vector<std::uint32_t> upstream_of;
    std::uint32_t long_held = 0;
    timeline<event> events;
};

} // namespace policy_bench

#endif
