#ifndef BILBERRYLEAD_TESTS_UNIT_POLICY_ADMISSION_MODEL_RUNS_HPP
#define BILBERRYLEAD_TESTS_UNIT_POLICY_ADMISSION_MODEL_RUNS_HPP

#include "tests/unit/policy/admission_model.hpp"

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace bilberrylead::policy
{

inline constexpr double max_less_often_served = 0.05;
inline constexpr double max_less_credit = 0.15;
inline constexpr double min_slots_in_use = 0.95;
inline constexpr double min_worst_tenth = 0.9;
inline constexpr double max_loss_within_fair_share = 0.02;

/// Seeds of tests whose outcome differs between seeds.
inline constexpr std::uint64_t model_seeds[] = {1, 2, 3};

inline constexpr char const* mode_names[] = {"none", "by_rank", "by_plan",
                                             "ordered_wait"};

/// Runs the model and logs a row of the table in docs/design/admission.md
/// (shown with --verbose).
inline model_result run(model_load const& load)
{
    model_result const result = admission_model(load).run();
    std::string row =
        fmt::format("{} hosts {} offered {} pressing {}: refused/100", //
                    mode_names[static_cast<std::size_t>(load.mode)], load.hosts,
                    load.offered, load.pressing);
    for (auto const& [rank, group] : result.ranks)
    {
        row += fmt::format(" {:.1f}", result.refused_per_100(rank));
    }
    cr_log_info("%s, worst tenth %.2f, slots in use %.3f", row.c_str(),
                result.worst_tenth(), result.slots_in_use);
    return result;
}

inline model_load make_load(model_mode mode, std::size_t hosts, double offered)
{
    model_load load;
    load.mode = mode;
    load.hosts = hosts;
    load.offered = offered;
    return load;
}

inline constexpr std::size_t host_counts[] = {30, 100, 300};
inline constexpr double offered_loads[] = {1.2, 1.5};
inline constexpr model_mode both_modes[] = {model_mode::by_rank,
                                            model_mode::by_plan};

inline void expect_rank_order(model_result const& result, char const* what)
{
    for (std::uint32_t rank = 0; rank + 1 < result.ranks.size(); ++rank)
    {
        cr_expect_geq(result.ranks.at(rank).served_share(),
                      result.ranks.at(rank + 1).served_share() -
                          max_less_often_served,
                      "%s: rank %u", what, rank);
        cr_expect_geq(result.credit(rank),
                      result.credit(rank + 1) - max_less_credit, "%s: rank %u",
                      what, rank);
    }
}

inline void expect_equal(model_result const& one, model_result const& other)
{
    cr_expect_eq(one.slots_in_use, other.slots_in_use);
    cr_assert_eq(one.ranks.size(), other.ranks.size());
    for (auto const& [rank, group] : one.ranks)
    {
        cr_expect_eq(group.requests, other.ranks.at(rank).requests);
        cr_expect_eq(group.served, other.ranks.at(rank).served);
        cr_expect_eq(group.in_target, other.ranks.at(rank).in_target);
    }
}

/// Mean served share of the customers with less than the usual demand.
inline double served_share_of_small_customers(model_result const& result)
{
    double requests = 0;
    double served = 0;
    std::size_t const first = result.customers.size() / 2;
    for (std::size_t each = first; each < result.customers.size(); ++each)
    {
        requests += result.customers[each].requests;
        served += result.customers[each].served;
    }
    return served / requests;
}

inline void check_slots_in_use(std::size_t hosts)
{
    for (double const offered : offered_loads)
    {
        for (model_mode const mode : both_modes)
        {
            model_result const result = run(make_load(mode, hosts, offered));
            cr_expect_geq(result.slots_in_use, min_slots_in_use,
                          "%s with %zu hosts at %.1f: %.3f",
                          mode_names[static_cast<std::size_t>(mode)], hosts,
                          offered, result.slots_in_use);
        }
    }
}

inline void check_worst_tenth(double offered)
{
    for (std::size_t const hosts : host_counts)
    {
        model_result const result =
            run(make_load(model_mode::by_plan, hosts, offered));
        cr_expect_geq(result.worst_tenth(), min_worst_tenth,
                      "%zu hosts at %.1f: %.2f", hosts, offered,
                      result.worst_tenth());
    }
}

inline void check_loss_within_fair_share(std::size_t hosts)
{
    for (std::uint64_t const seed : model_seeds)
    {
        model_load load = make_load(model_mode::by_plan, hosts, 1);
        load.seed = seed;
        load.rank_shares = {1};
        double const usual = served_share_of_small_customers(run(load));
        load.pressing = 5;
        double const pressed = served_share_of_small_customers(run(load));
        cr_expect_geq(pressed, usual - max_loss_within_fair_share,
                      "%zu hosts: %.3f of %.3f", hosts, pressed, usual);
    }
}

} // namespace bilberrylead::policy

#endif
