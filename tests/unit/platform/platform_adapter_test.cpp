#include "platform/platform_control_adapter.hpp"
#include "platform/platform_entry_adapter.hpp"

#include "bilberrylead/catalog/accepted_orders.hpp"
#include "bilberrylead/core/error.hpp"
#include "platform/configuration_reader.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using platform::platform_control_adapter;
using platform::read_configuration;

namespace
{

std::string const rule =
    R"({"name":"r1","kind":"safe","target_latency_s":0.25,"priority":2,)"
    R"("sticky_sessions":true,"match":{"path_prefix":"/look/"},)"
    R"("action":{"service":"read","timeout_s":1.2,"max_attempts":2,)"
    R"("allowed_regions":["north"]}})";

std::string configuration_with(std::string const& rules,
                               std::string const& version = "0000000c")
{
    return R"({"version":")" + version +
           R"(","limits":{"max_header_bytes":9000,"idle_timeout_s":15},)"
           R"("listeners":[{"host":"a.example","rules":[)" +
           rules +
           R"(]}],"clusters":[{"name":"read","health_path":"/h",)"
           R"("cold_start_s":3.0,"cold_per_s":6.2},{"name":"write"}]})";
}

std::string replaced(std::string text, std::string const& what,
                     std::string const& with)
{
    std::size_t const place = text.find(what);
    cr_assert(place != std::string::npos, "%s", what.c_str());
    return text.replace(place, what.size(), with);
}

link::http_request call(std::string method, std::string target,
                        std::string body = {})
{
    link::http_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
}

absl::Status answer_to_put(std::string const& body)
{
    return platform_control_adapter::read_operator_request(
               call("POST", "/api/config/put", body), "operator")
        .status();
}

} // namespace

Test(platform_configuration, fields_when_read_are_in_the_products_terms)
{
    absl::StatusOr<platform::versioned_configuration> const read =
        read_configuration(configuration_with(rule));
    cr_assert(read.ok());
    cr_expect_eq(read->version, 12U);
    config::configuration const& content = read->content;
    cr_assert_eq(content.request_routes.size(), 1U);
    config::request_route const& route = content.request_routes.front();
    cr_expect(route.host == "a.example" && route.path_prefix == "/look/");
    cr_expect(route.idempotent && !route.transfer && route.object_affinity);
    cr_expect(route.aim == 250ms && route.timeout == 1200ms);
    cr_expect_eq(route.most_attempts, 2U);
    cr_expect(route.regions == std::vector{region_id("north")});
    cr_assert_eq(content.services.size(), 2U);
    cr_expect(content.services.front().cold_time == 3s);
    cr_expect_eq(content.services.front().cold_rate, 6200U);
    cr_expect(content.limits.idle_timeout == 15s);
    cr_expect_eq(content.limits.header_bytes, 9000U);
}

Test(platform_configuration, kind_that_is_not_known_may_not_be_repeated)
{
    absl::StatusOr<platform::versioned_configuration> const read =
        read_configuration(configuration_with(
            replaced(rule, "\"kind\":\"safe\"", "\"kind\":\"stream\"")));
    cr_assert(read.ok());
    cr_expect_not(read->content.request_routes.front().idempotent);
}

Test(platform_configuration, split_keeps_the_proportions_of_its_weights)
{
    absl::StatusOr<platform::versioned_configuration> const read =
        read_configuration(configuration_with(
            replaced(rule, "\"service\":\"read\"",
                     R"("traffic_split":[{"service":"read","weight":2.5},)"
                     R"({"service":"write","weight":7.5}])")));
    cr_assert(read.ok());
    std::vector<config::route_target> const& targets =
        read->content.request_routes.front().targets;
    cr_assert_eq(targets.size(), 2U);
    cr_expect_eq(targets[0].weight * 3, targets[1].weight);
}

std::string configuration_with_tenants(std::string const& tenants)
{
    return replaced(configuration_with(rule), R"("listeners")",
                    R"("tenants":)" + tenants + R"(,"listeners")");
}

Test(platform_configuration, tenants_when_read_are_customers)
{
    absl::StatusOr<platform::versioned_configuration> const read =
        read_configuration(configuration_with_tenants(
            R"([{"name":"t1","api_keys":["k1","k2"],"priority":1,)"
            R"("rate_per_s":2.5,"burst":9.5,"allowed_regions":["north"]},)"
            R"({"name":"t2","api_keys":[]}])"));
    cr_assert(read.ok());
    std::vector<config::customer> const& customers = read->content.customers;
    cr_assert_eq(customers.size(), 2U);
    cr_expect(customers[0].id == customer_id("t1"));
    cr_expect_eq(customers[0].keys.size(), 2U);
    cr_expect_eq(customers[0].rate, 2500U);
    cr_expect_eq(customers[0].burst, 9U);
    cr_expect_eq(customers[0].priority, 1U);
    cr_expect(customers[0].regions == std::vector{region_id("north")});
    cr_expect_eq(customers[1].rate, 0U);
    cr_expect_not(read->content.request_routes.front().is_public);
    cr_expect(
        read_configuration(configuration_with(replaced(
                               rule, R"("kind")", R"("public":true,"kind")")))
            ->content.request_routes.front()
            .is_public);
}

// Guards against a key that identifies two customers, and against a request
// that is counted for none.
Test(platform_operator, invalid_tenants_are_refused)
{
    for (std::string const tenants :
         {R"([{"name":"t1","api_keys":["k"]},{"name":"t2","api_keys":["k"]}])",
          R"([{"name":"t1","api_keys":["k"]},{"name":"t1","api_keys":["l"]}])",
          R"([{"api_keys":["k"]}])", R"([{"name":"","api_keys":["k"]}])",
          R"([{"name":"t1","api_keys":[""]}])",
          R"([{"name":"t1","api_keys":["a b"]}])",
          R"([{"name":"t1","api_keys":"k"}])",
          R"([{"name":"t1","api_keys":["k"],"rate_per_s":-1}])",
          R"([{"name":"t1","api_keys":["k"],"rate_per_s":"fast"}])",
          R"([{"name":"t1","api_keys":["k"],"burst":1e10}])", R"({"t1":1})"})
    {
        cr_expect_not(answer_to_put(configuration_with_tenants(tenants)).ok(),
                      "%s", tenants.c_str());
    }
}

// What is acknowledged is in force: each of these would leave callers
// without a way, or with two.
Test(platform_operator, invalid_configurations_are_refused)
{
    std::string const valid = configuration_with(rule);
    cr_assert(answer_to_put(valid).ok());
    std::vector<std::string> const invalid = {
        valid.substr(0, valid.size() - 9),
        "",
        "[]",
        replaced(valid, "\"service\":\"read\"", "\"service\":\"nobody\""),
        configuration_with(rule + "," + rule),
        configuration_with(
            replaced(rule, "\"service\":\"read\"",
                     R"("traffic_split":[{"service":"read","weight":0}])")),
        replaced(valid, "\"target_latency_s\":0.25",
                 "\"target_latency_s\":61.2"),
        replaced(valid, "\"/look/\"", "\"look/\""),
        replaced(valid, "\"/look/\"", "7"),
        replaced(valid, "\"timeout_s\":1.2", "\"timeout_s\":\"soon\""),
        replaced(valid, "\"timeout_s\":1.2", "\"timeout_s\":-1"),
        replaced(valid, "0000000c", "12th"),
    };
    for (std::string const& body : invalid)
    {
        absl::Status const status = answer_to_put(body);
        cr_expect_not(status.ok(), "%s", body.c_str());
        cr_expect_eq(platform_control_adapter::write_operator_reply(
                         call("POST", "/api/config/put"), status, std::nullopt)
                         .status,
                     400U);
    }
}

Test(platform_operator, evacuation_names_the_zone_and_its_end)
{
    auto const begun = platform_control_adapter::read_operator_request(
        call("POST", "/api/evacuations/z-1/start"), "operator");
    auto const ended = platform_control_adapter::read_operator_request(
        call("POST", "/api/evacuations/z-1/end"), "operator");
    cr_assert(begun.ok() && ended.ok());
    catalog::close_zone const start =
        std::get<control::submit_zone_order>(*begun).order;
    cr_expect(start.zone == zone_id("z-1") && start.closed);
    cr_expect_not(std::get<control::submit_zone_order>(*ended).order.closed);
    cr_expect_not(platform_control_adapter::read_operator_request(
                      call("POST", "/api/evacuations//start"), "operator")
                      .ok());
    cr_expect_not(platform_control_adapter::read_operator_request(
                      call("POST", "/api/evacuations/z-1/stop"), "operator")
                      .ok());
}

Test(platform_operator, host_that_does_not_lead_names_the_one_that_does)
{
    absl::Status const status =
        make_error(error_kind::not_leader, "Another leads.", "Ask it.");
    link::http_answer const answer =
        platform_control_adapter::write_operator_reply(
            call("POST", "/api/evacuations/z-1/end"), status,
            config::endpoint{"10.0.0.4", 8080});
    cr_expect_eq(answer.status, 307U);
    cr_expect(answer.location ==
              "http://10.0.0.4:8080/api/evacuations/z-1/end");
    cr_expect_eq(platform_control_adapter::write_operator_reply(
                     call("GET", "/api/config/get"), status, std::nullopt)
                     .status,
                 503U);
}

Test(platform_operator, configuration_is_read_back_as_it_was_put)
{
    std::string const text = configuration_with(rule);
    control::orders_reply const reply{12, bytes(text.begin(), text.end())};
    link::http_answer const answer =
        platform_control_adapter::write_operator_reply(
            call("GET", "/api/config/get"), reply, std::nullopt);
    cr_expect_eq(answer.status, 200U);
    cr_expect(answer.body == text);
}

Test(platform_steering, answer_names_hosts_and_time)
{
    auto const asked = platform_control_adapter::read_steering_question(
        call("GET", "/api/resolve?name=a.example&region=north&zone=n%2D1"));
    cr_assert(asked.ok());
    cr_expect(asked->region == region_id("north"));
    cr_expect(asked->zone == zone_id("n-1"));
    presence::steering_reply reply;
    cr_expect_eq(platform_control_adapter::write_steering_reply(reply).status,
                 503U);
    reply.entry_hosts.push_back({"10.1.0.6", 8548});
    reply.ttl = 1500ms;
    link::http_answer const answer =
        platform_control_adapter::write_steering_reply(reply);
    cr_expect(answer.body == R"({"addresses":["10.1.0.6:8548"],"ttl_s":1.5})");
}

// Another writer's entries stand among the sound ones: they name no upstream
// to use, and the others hold.
Test(platform_list, unreadable_entries_are_passed_over_and_the_others_hold)
{
    auto const page = platform_control_adapter::read_list_page(
        R"({"instances":{"columns":["service","address","zone","version",)"
        R"("slots","state","cold_remaining_s","id"],"rows":[)"
        R"(["s","10.0.0.9:80","z","v1",3,"ready",0.5,"i-1"],)"
        R"(["s","10.0.0.8:80","z","v1",3,"draining",null,"i-2"],)"
        R"(["s","nowhere","z","v1",3,"ready",0,"i-3"],)"
        R"(["s","10.0.0.7:80","z","v1","many","ready",0,"i-4"],)"
        R"(["s","10.0.0.7:80","z","v1",3,"resting",0,"i-5"],)"
        R"([null,"10.0.0.7:80","z","v1",3,"ready",0,"i-6"],7,)"
        R"(["s"]]},"next_token":"p-2"})");
    cr_assert(page.ok());
    cr_assert_eq(page->upstreams.size(), 2U);
    cr_expect_eq(page->unreadable, 6U);
    cr_expect(page->next == "p-2");
    cr_expect(page->upstreams[0].cold_remaining == 500ms);
    cr_expect_not(page->upstreams[0].upstream.leaving);
    cr_expect(page->upstreams[1].upstream.leaving);
}

Test(platform_list, page_that_is_none_is_an_error)
{
    for (std::string const body :
         {"", "{}", "[]", "{\"instances\":7}", "{\"instances\":{\"rows\":[]}}"})
    {
        cr_expect_not(platform_control_adapter::read_list_page(body).ok(), "%s",
                      body.c_str());
    }
    cr_expect(platform_control_adapter::list_target({1, {}, ""}) ==
              "/instances");
    cr_expect(platform_control_adapter::list_target({1, {}, "p-2"}) ==
              "/instances?page_token=p-2");
    cr_expect(
        platform_control_adapter::list_target({1, zone_id("z-1"), "p-2"}) ==
        "/instances?zone=z-1&page_token=p-2");
}

Test(platform_revision, closed_zones_come_before_the_first_configuration)
{
    catalog::accepted_orders orders;
    orders.apply(catalog::close_zone{zone_id("z-1"), true});
    auto const early =
        platform::platform_entry_adapter::read_revision(orders.encode());
    cr_assert(early.ok());
    cr_expect_null(early->content.get());
    cr_expect(early->closed_zones.contains(zone_id("z-1")));

    std::string const text = configuration_with(rule);
    orders.apply(
        catalog::put_configuration{12, bytes(text.begin(), text.end())});
    auto const whole =
        platform::platform_entry_adapter::read_revision(orders.encode());
    cr_assert(whole.ok());
    cr_assert_not_null(whole->content.get());
    cr_expect_eq(whole->content->services.size(), 2U);
}

// Guards against a backend that started again under its id and is taken for the
// one before.
Test(platform_adapter, start_time_of_a_back_end_is_a_whole_number)
{
    auto const page = platform_control_adapter::read_list_page(
        R"({"instances":{"columns":["id","service","address","zone","born"],)"
        R"("rows":[["i-1","s","127.0.0.1:80","z",1765000000123],)"
        R"(["i-2","s","127.0.0.1:81","z",null],)"
        R"(["i-3","s","127.0.0.1:82","z"],)"
        R"(["i-4","s","127.0.0.1:83","z",1.5],)"
        R"(["i-5","s","127.0.0.1:84","z",-1],)"
        R"(["i-6","s","127.0.0.1:85","z","1765000000123"],)"
        R"(["i-7","s","127.0.0.1:86","z",1e300]]},"next_token":null})");
    cr_assert(page.ok());
    cr_assert_eq(page->upstreams.size(), 3U);
    cr_expect(page->upstreams[0].started_at ==
              wall_time(std::chrono::milliseconds(1'765'000'000'123)));
    cr_expect_not(page->upstreams[1].started_at.has_value());
    cr_expect_not(page->upstreams[2].started_at.has_value());
    cr_expect_eq(page->unreadable, 4U);
}
