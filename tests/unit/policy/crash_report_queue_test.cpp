#include "bilberrylead/policy/crash_report_queue.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using policy::crash_report_queue;

namespace
{

instant const start = instant{} + std::chrono::hours(1);

} // namespace

// A single request that crashes upstreams must be known everywhere at once.
Test(crash_report_queue, first_record_is_due_at_once)
{
    crash_report_queue queue;
    cr_expect(queue.take_due(start).empty());
    queue.add({{7, 0, {upstream_id("a")}}});
    cr_expect_eq(queue.take_due(start).size(), 1U);
    cr_expect(queue.take_due(start + crash_report_queue::interval).empty());
}

Test(crash_report_queue,
     records_within_the_interval_are_due_together_at_its_end)
{
    crash_report_queue queue;
    queue.add({{7, 0, {upstream_id("a")}}});
    queue.take_due(start);
    queue.add({{8, 0, {upstream_id("a")}}});
    queue.add({{9, 0, {upstream_id("a")}}});
    queue.add({{8, 0, {upstream_id("a"), upstream_id("b")}}});
    instant const end = start + crash_report_queue::interval;
    cr_expect(queue.take_due(end - std::chrono::milliseconds(1)).empty());
    std::vector<policy::crash_record> const due = queue.take_due(end);
    cr_assert_eq(due.size(), 2U);
    cr_expect_eq(due.front().digest, 8U);
    cr_expect_eq(due.front().ended_upstreams.size(), 2U);
}
