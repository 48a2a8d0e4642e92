#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_POLICY_ROW_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_POLICY_ROW_HPP

#include "tally.hpp"

#include <functional>
#include <string>
#include <vector>

namespace policy_bench
{

/// One policy of the tables.
struct policy_row
{
    /// Name in the tables.
    std::string name;
    /// Plays a scenario under it.
    std::function<summary(profile const&, scenario const&,
                          std::vector<arrival> const&)>
        play;
};

/// The row that the others are measured against.
constexpr char const* baseline_name = "least in flight, own region";
/// The product's row.
constexpr char const* product_name = "ours";
/// The lower limit's row.
constexpr char const* ideal_name = "ideal";

/// All policies, baselines first, the lower limit last.
std::vector<policy_row> all_policies();

} // namespace policy_bench

#endif
