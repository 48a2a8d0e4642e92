#include "bilberrylead/policy/fair_queue.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using namespace bilberrylead::policy;
using namespace std::chrono_literals;

namespace
{

waiting_request make_request(std::uint64_t ticket, std::uint32_t flow,
                             instant at)
{
    waiting_request request;
    request.ticket = ticket;
    request.flow = flow;
    request.arrived = at;
    request.deadline = at + 10s;
    return request;
}

} // namespace

// Guards against starvation of a caller's second request while a new caller
// arrives for each slot that comes free. With start tags that are counts
// instead of times it was never served, since the first tag of every new flow
// was lower. Its wait must be bounded by one round.
Test(fair_queue, second_request_of_a_flow_is_not_starved_by_new_flows)
{
    fair_queue queue;
    instant now{};
    queue.push(make_request(1, 1, now), 2ms);
    queue.push(make_request(2, 1, now), 2ms);
    int served = 0;
    bool second_served = false;
    for (std::uint32_t flow = 2; flow < 50 && !second_served; ++flow)
    {
        now += 2ms;
        queue.push(make_request(flow + 100, flow, now), 2ms);
        second_served = queue.pop()->ticket == 2;
        ++served;
    }
    cr_assert(second_served);
    cr_assert_leq(served, 3);
}

Test(fair_queue, callers_with_one_request_are_served_in_order)
{
    fair_queue queue;
    for (std::uint32_t flow = 1; flow <= 5; ++flow)
    {
        queue.push(make_request(flow, flow, instant(flow * 1ms)), 2ms);
    }
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket)
    {
        cr_assert_eq(queue.pop()->ticket, ticket);
    }
}

Test(fair_queue, full_queue_accepts_nothing_and_keeps_its_counts)
{
    fair_queue_settings settings;
    settings.capacity = 2;
    fair_queue queue(settings);
    cr_assert(queue.push(make_request(1, 1, {}), 2ms));
    cr_assert(queue.push(make_request(2, 2, {}), 2ms));
    cr_assert_not(queue.push(make_request(3, 3, {}), 2ms));
    cr_assert(queue.remove(1));
    cr_assert_not(queue.remove(1));
    cr_assert_eq(queue.flows_waiting(), 1);
    cr_assert_eq(queue.size_of(1), 0);
}
