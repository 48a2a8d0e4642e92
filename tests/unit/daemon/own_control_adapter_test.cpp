#include "bilberrylead/daemon/own_control_adapter.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

using namespace bilberrylead;
using namespace std::chrono_literals;
using daemon::own_control_adapter;

Test(own_control_adapter, page_of_upstreams_when_read_keeps_the_sound_entries)
{
    auto const page = own_control_adapter::read_list_page(
        R"({"upstreams":[{"name":"u1","service":"s","zone":"z",)"
        R"("address":"127.0.0.1:80","slots":3,"cold_ms":250,"started_ms":7},)"
        R"({"name":"u2","service":"s","zone":"z","address":"nowhere"},)"
        R"({"name":"u3"},7,{"name":"u4","service":"s","zone":"z",)"
        R"("address":"127.0.0.1:81","slots":-1}],"next":"p2"})");
    cr_assert(page.ok());
    cr_assert_eq(page->upstreams.size(), 1U);
    cr_expect(page->upstreams.front().cold_remaining == 250ms);
    cr_expect(page->upstreams.front().started_at == wall_time(7ms));
    cr_expect_eq(page->unreadable, 4U);
    cr_expect(page->next == "p2");
    cr_expect_not(own_control_adapter::read_list_page("{}").ok());
}

Test(own_control_adapter, question_for_steering_names_region_and_zone)
{
    link::http_request request;
    request.method = "GET";
    request.target = "/steering?zone=z%31&region=r";
    auto const asked = own_control_adapter::read_steering_question(request);
    cr_assert(asked.ok());
    cr_expect(asked->zone == zone_id("z1"));
    cr_expect(asked->region == region_id("r"));
    request.target = "/other";
    cr_expect_not(own_control_adapter::read_steering_question(request).ok());
}

Test(own_control_adapter, control_host_that_hears_nobody_says_so)
{
    presence::steering_reply reply;
    cr_expect_eq(own_control_adapter::write_steering_reply(reply).status, 503U);
    reply.entry_hosts.push_back({"127.0.0.1", 80});
    cr_expect_eq(own_control_adapter::write_steering_reply(reply).status, 200U);
}
