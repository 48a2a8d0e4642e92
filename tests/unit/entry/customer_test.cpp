#include "tests/unit/entry/routed_entry.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <set>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// A `routed_entry` with customers "free" (no limit), "small" (5 requests a
/// second) and "far" (served in r2 only).
struct entry_with_customers : routed_entry
{
    entry_with_customers()
    {
        auto const content =
            std::make_shared<config::configuration>(*this->configuration);
        content->customers = {
            {customer_id("free"), {"free-key"}, 0, 0, 0, {}},
            {customer_id("small"), {"small-key"}, 5000, 5, 0, {}},
            {customer_id("far"), {"far-key"}, 0, 0, 0, {region_id("r2")}}};
        this->reduce(configuration_received{2, content});
    }

    effects const& arrive_with_key(std::string const& path,
                                   std::string const& key)
    {
        request_arrived arrival;
        arrival.request = static_cast<request_number>(++this->last_number);
        arrival.host = "a.example";
        arrival.path = path;
        arrival.customer_key = key;
        return this->reduce(arrival);
    }

    std::uint16_t refused_with() const
    {
        answer_problem const* const problem = this->find<answer_problem>();
        return problem == nullptr ? std::uint16_t{0} : problem->status;
    }

    /// Answers the next report with a share of the limit of "small".
    void allocate(std::uint32_t share)
    {
        for (int waited = 0; waited < 200; ++waited)
        {
            this->advance(20ms);
            send_customer_report const* const sent =
                this->find<send_customer_report>();
            if (sent != nullptr)
            {
                this->reduce(
                    limits_allocated{{sent->report.number,
                                      0,
                                      {{customer_id("small"), share, 0}}}});
                return;
            }
        }
        cr_assert_fail("no report was sent");
    }

    std::uint64_t last_number = 1000;
};

} // namespace

Test(customer, key_identifies_the_customer_to_the_upstream)
{
    entry_with_customers host;
    host.arrive_with_key("/r/x", "free-key");
    cr_assert_not_null(host.find<start_upstream>());
    cr_expect(host.find<start_upstream>()->customer == customer_id("free"));
    host.arrive_with_key("/r/x", "nobody");
    cr_expect_eq(host.refused_with(), 401);
    cr_expect_null(host.find<start_upstream>());
}

// Guards against a removed key that is still served, and against a key that is
// counted for the customer that held it before.
Test(customer, key_that_moved_identifies_its_new_customer)
{
    entry_with_customers host;
    auto const content =
        std::make_shared<config::configuration>(*host.configuration);
    content->customers = {{customer_id("new"), {"free-key"}, 0, 0, 0, {}}};
    host.reduce(configuration_received{3, content});
    host.arrive_with_key("/r/x", "free-key");
    cr_assert_not_null(host.find<start_upstream>());
    cr_expect(host.find<start_upstream>()->customer == customer_id("new"));
    host.arrive_with_key("/r/x", "small-key");
    cr_expect_eq(host.refused_with(), 401);
}

// Guards against requests that leave the regions of their customer.
Test(customer, customers_regions_bind_besides_the_routes)
{
    entry_with_customers host;
    host.arrive_with_key("/r/x", "far-key");
    cr_expect_eq(host.sent_to(), "read-far");
    // /home/ is served in r2 only, as is the customer.
    host.arrive_with_key("/home/x", "far-key");
    cr_expect_eq(host.sent_to(), "read-far");
    // No upstream of "write" is in r2.
    host.arrive_with_key("/w/x", "far-key");
    cr_expect_not_null(host.find<answer_not_run>());
}

// Guards against a route and a customer without a common region that are
// served in a region of one of the two.
Test(customer, no_common_region_is_refused)
{
    entry_with_customers host;
    auto const content =
        std::make_shared<config::configuration>(*host.configuration);
    content->customers = {
        {customer_id("near"), {"near-key"}, 0, 0, 0, {region_id("r1")}}};
    host.reduce(configuration_received{3, content});
    host.arrive_with_key("/home/x", "near-key");
    answer_not_run const* const refused = host.find<answer_not_run>();
    cr_assert_not_null(refused);
    cr_expect(refused->reason == refusal_reason::no_common_region);
}

Test(customer, request_beyond_the_limit_is_answered_429_with_retry_after)
{
    entry_with_customers host;
    host.allocate(1'000'000);
    host.advance(1s);
    int accepted = 0;
    for (int request = 0; request < 20; ++request)
    {
        host.arrive_with_key("/r/x", "small-key");
        accepted += host.refused_with() == 0 ? 1 : 0;
    }
    cr_expect_geq(accepted, 1);
    cr_expect_leq(accepted, 10);
    cr_expect_eq(host.refused_with(), 429);
    cr_expect(host.find<answer_problem>()->retry_after > duration::zero());
    cr_expect(host.find<answer_problem>()->reason ==
              refusal_reason::over_limit);
    host.arrive_with_key("/r/x", "free-key");
    cr_expect_eq(host.refused_with(), 0);
}

// Guards against requests that use up the limit although they were refused for
// lack of room and have not run.
Test(customer, request_refused_for_lack_of_room_does_not_count)
{
    entry_with_customers host;
    host.allocate(1'000'000);
    host.advance(1s);
    int refused_by_limit = 0;
    for (int request = 0; request < 30; ++request)
    {
        // No upstream of "write" may serve it: none is listed any more.
        host.reduce(upstreams_listed{
            std::make_shared<std::vector<discovery::listed_upstream>>()});
        host.arrive_with_key("/w/x", "small-key");
        refused_by_limit += host.refused_with() == 429 ? 1 : 0;
    }
    cr_expect_eq(refused_by_limit, 0);
}
