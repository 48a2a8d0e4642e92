#include "bilberrylead/discovery/listing_delivery.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <optional>

using namespace bilberrylead;
using namespace std::chrono_literals;
using discovery::listing_delivery;
using discovery::listing_delivery_report;

namespace
{

instant const start = instant{} + 1h;
host_id const near("near");
host_id const far("far");

} // namespace

Test(listing_delivery, last_confirmation_reports_the_slowest_host)
{
    listing_delivery delivery;
    delivery.record_sent({1, 2}, {near, far}, start);
    cr_expect_not(
        delivery.record_confirmed(near, {1, 2}, start + 40ms).has_value());
    std::optional<listing_delivery_report> const report =
        delivery.record_confirmed(far, {1, 2}, start + 700ms);
    cr_assert(report.has_value());
    cr_expect_eq(report->hosts, 2U);
    cr_expect_eq(report->confirmed, 2U);
    cr_expect(report->slowest == far);
    cr_expect_eq(report->slowest_time, duration(700ms));
}

Test(listing_delivery, older_or_repeated_confirmation_is_ignored)
{
    listing_delivery delivery;
    delivery.record_sent({1, 2}, {near, far}, start);
    cr_expect_not(
        delivery.record_confirmed(far, {1, 1}, start + 10ms).has_value());
    delivery.record_confirmed(near, {1, 2}, start + 40ms);
    cr_expect_not(
        delivery.record_confirmed(near, {1, 2}, start + 50ms).has_value());
}

// Guards against a host that never confirms and so would never be reported.
Test(listing_delivery, missing_confirmation_is_reported_with_the_next_listing)
{
    listing_delivery delivery;
    delivery.record_sent({1, 2}, {near, far}, start);
    delivery.record_confirmed(near, {1, 2}, start + 40ms);
    std::optional<listing_delivery_report> const report =
        delivery.record_sent({1, 3}, {near, far}, start + 1s);
    cr_assert(report.has_value());
    cr_expect_eq(report->confirmed, 1U);
    cr_expect_eq(report->position.number, 2U);
}
