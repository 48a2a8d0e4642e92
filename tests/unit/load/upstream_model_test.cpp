#include "bilberrylead/load/upstream_model.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

using bilberrylead::duration;
using bilberrylead::instant;
using bilberrylead::load::arrival;
using bilberrylead::load::stand_in_behaviour;
using bilberrylead::load::upstream_model;
using std::chrono::milliseconds;

namespace
{

instant const start(std::chrono::hours(1));

stand_in_behaviour two_slots()
{
    stand_in_behaviour value;
    value.slots = 2;
    value.queue = 1;
    value.spread_percent = 0;
    return value;
}

} // namespace

Test(upstream_model, requests_beyond_slots_when_arriving_wait_then_are_shed)
{
    upstream_model model(two_slots(), 1, start);
    cr_assert(model.arrive(start) == arrival::run);
    cr_assert(model.arrive(start) == arrival::run);
    cr_assert(model.arrive(start) == arrival::wait);
    cr_assert(model.arrive(start) == arrival::shed);
    cr_assert(model.release(start), "the slot goes to the one that waits");
    cr_assert_not(model.release(start));
    cr_assert(model.arrive(start) == arrival::run);
}

Test(upstream_model, slots_lowered_while_busy_when_released_are_not_inherited)
{
    upstream_model model(two_slots(), 1, start);
    model.arrive(start);
    model.arrive(start);
    model.arrive(start);
    model.behaviour.slots = 1;
    cr_assert_not(model.release(start));
    cr_assert(model.release(start));
}

Test(upstream_model, cold_and_slow_work_when_started_takes_longer)
{
    stand_in_behaviour value = two_slots();
    value.service_time = milliseconds(10);
    value.cold_start = milliseconds(100);
    value.cold_percent = 300;
    upstream_model model(value, 1, start);
    cr_assert(model.start("a", "", start).work == milliseconds(30));
    instant const warm = start + milliseconds(100);
    cr_assert(model.start("b", "", warm).work == milliseconds(10));
    model.behaviour.slow_percent = 500;
    cr_assert(model.start("c", "", warm).work == milliseconds(50));
}

Test(upstream_model, lots_when_seeded_alike_are_equal_and_keep_the_mean)
{
    stand_in_behaviour value = two_slots();
    value.service_time = milliseconds(20);
    value.spread_percent = 50;
    upstream_model first(value, 7, start);
    upstream_model second(value, 7, start);
    duration sum{};
    constexpr int rounds = 20'000;
    for (int round = 0; round < rounds; ++round)
    {
        duration const work = first.start("", "", start).work;
        cr_assert(work == second.start("", "", start).work);
        sum += work;
    }
    duration const mean = sum / rounds;
    cr_assert(mean > milliseconds(19) && mean < milliseconds(21));
}

Test(upstream_model, load_report_when_lagging_shows_the_past)
{
    stand_in_behaviour value = two_slots();
    value.load_lag = milliseconds(1'000);
    upstream_model model(value, 1, start);
    model.arrive(start + milliseconds(500));
    std::string const early = model.load_report(start + milliseconds(1'400));
    cr_assert_neq(early.find("\"slots_in_use\":0"), std::string::npos);
    std::string const later = model.load_report(start + milliseconds(1'600));
    cr_assert_neq(later.find("\"slots_in_use\":1"), std::string::npos);
}

Test(upstream_model, load_report_when_lying_shows_its_share)
{
    upstream_model model(two_slots(), 1, start);
    model.arrive(start);
    model.arrive(start);
    model.behaviour.load_shown_percent = 50;
    cr_assert_neq(model.load_report(start).find("\"slots_in_use\":1"),
                  std::string::npos);
}

Test(upstream_model, runs_when_started_are_counted_by_id_and_key)
{
    upstream_model model(two_slots(), 1, start);
    model.start("a", "k", start);
    model.start("b", "k", start);
    cr_assert_eq(model.runs.requests.at("a"), 1U);
    cr_assert_eq(model.runs.keys.at("k"), 2U);
}

Test(upstream_model, connections_beyond_the_limit_when_opened_are_refused)
{
    stand_in_behaviour value = two_slots();
    value.connections = 1;
    upstream_model model(value, 1, start);
    cr_assert(model.connection_opened());
    cr_assert_not(model.connection_opened());
    model.connection_closed();
    cr_assert(model.connection_opened());
}

// Guards against a stand-in whose reported speed is not the one that its work
// has: callers of the figure would be measured against noise.
Test(upstream_model, work_in_slow_moments_takes_as_long_as_reported)
{
    stand_in_behaviour value = two_slots();
    value.service_time = milliseconds(10);
    value.moment_period = milliseconds(600);
    value.moment_share_percent = 15;
    value.load_figures = 4;
    upstream_model model(value, 1, start);
    int slow = 0;
    constexpr int moments = 2000;
    for (int moment = 0; moment < moments; ++moment)
    {
        instant const now = start + moment * value.moment_period;
        bool const is_slow = model.run_time_percent(now) == 250;
        slow += is_slow ? 1 : 0;
        duration const work = model.start("a", "", now).work;
        cr_assert(work == (is_slow ? milliseconds(25) : milliseconds(10)));
        std::string const header = model.load_header(now);
        cr_assert_str_eq(header.c_str(), is_slow ? "0,0,2,250" : "0,0,2,100");
    }
    cr_assert(slow > moments / 10 && slow < moments / 5, "%d", slow);
}

// Guards against work that keeps the speed of its start after the moment.
Test(upstream_model, work_over_several_moments_changes_its_speed)
{
    stand_in_behaviour value = two_slots();
    value.service_time = milliseconds(1000);
    value.moment_period = milliseconds(100);
    value.moment_share_percent = 50;
    value.moment_percent = 200;
    upstream_model model(value, 1, start);
    duration const work = model.start("a", "", start).work;
    cr_assert(work > milliseconds(1000) && work < milliseconds(2000));
}

Test(upstream_model, load_header_has_as_many_figures_as_it_is_told)
{
    stand_in_behaviour value = two_slots();
    upstream_model model(value, 1, start);
    cr_assert(model.load_header(start).empty());
    model.arrive(start);
    model.behaviour.load_figures = 3;
    std::string const three_figures = model.load_header(start);
    cr_assert_str_eq(three_figures.c_str(), "1,0,2");
    model.behaviour.load_figures = 2;
    std::string const two_figures = model.load_header(start);
    cr_assert_str_eq(two_figures.c_str(), "1,0");
}
