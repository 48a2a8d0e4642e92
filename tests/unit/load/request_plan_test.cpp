#include "bilberrylead/load/answer_kind.hpp"
#include "bilberrylead/load/load_profile.hpp"
#include "bilberrylead/load/request_plan.hpp"
#include "bilberrylead/load/steering_answer.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>

using bilberrylead::load::answer_kind;
using bilberrylead::load::choose_host;
using bilberrylead::load::claimed_kind;
using bilberrylead::load::load_profile;
using bilberrylead::load::parse_load_profile;
using bilberrylead::load::parse_steering_answer;
using bilberrylead::load::planned_request;
using bilberrylead::load::request_plan;
using bilberrylead::load::steering_answer;
using std::chrono::milliseconds;

namespace
{

constexpr char const* profile_text = R"({
  "rate_per_s": 1000, "length_ms": 10000, "seed": 3,
  "callers": [{"name": "apps", "source_block": "127.1.1.0/24",
               "callers": 50, "heavy_callers": 2, "heavy_percent": 50}],
  "requests": [
    {"name": "find", "service": "lyrics", "callers": "apps", "weight": 9},
    {"name": "post", "service": "grants", "callers": "apps", "weight": 1}],
  "bursts": [{"start_ms": 4000, "length_ms": 2000, "rate_percent": 300}]
})";

load_profile profile()
{
    absl::StatusOr<load_profile> const value =
        parse_load_profile(profile_text, "profile.jsonc");
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    return *value;
}

} // namespace

Test(request_plan, same_profile_when_planned_twice_gives_the_same_requests)
{
    load_profile const given = profile();
    request_plan first(given);
    request_plan second(given);
    while (std::optional<planned_request> const left = first.next())
    {
        std::optional<planned_request> const right = second.next();
        cr_assert(right.has_value());
        cr_assert(left->start == right->start && left->kind == right->kind &&
                  left->caller == right->caller && left->seed == right->seed);
    }
    cr_assert_not(second.next().has_value());
}

Test(request_plan, profile_when_planned_keeps_rates_mix_and_heavy_callers)
{
    load_profile const given = profile();
    request_plan plan(given);
    std::uint64_t usual = 0;
    std::uint64_t burst = 0;
    std::uint64_t posts = 0;
    std::map<std::string, std::uint64_t> callers;
    while (std::optional<planned_request> const request = plan.next())
    {
        bool const in_burst = request->start >= milliseconds(4'000) &&
                              request->start < milliseconds(6'000);
        ++(in_burst ? burst : usual);
        posts += request->kind;
        ++callers[request->caller];
    }
    cr_assert(usual > 7'600 && usual < 8'400);
    cr_assert(burst > 5'700 && burst < 6'300);
    cr_assert(posts > 1'250 && posts < 1'550);
    std::uint64_t const heavy = callers["apps-0"] + callers["apps-1"];
    cr_assert(heavy > 6'600 && heavy < 7'400);
}

Test(request_plan, both_users_profiles_when_parsed_pass)
{
    for (std::string const user : {"letrasur", "maksuamet"})
    {
        std::string const path = "examples/" + user + "/profile.jsonc";
        std::ifstream stream(path);
        std::string const text{std::istreambuf_iterator<char>(stream), {}};
        absl::Status const status = parse_load_profile(text, path).status();
        cr_assert(status.ok(), "%s", status.ToString().c_str());
    }
}

Test(request_plan, bad_profiles_when_parsed_name_the_fault)
{
    std::string text = profile_text;
    text.replace(text.find("\"callers\": \"apps\""), 17,
                 "\"callers\": \"appz\"");
    std::string const message(
        parse_load_profile(text, "bad.jsonc").status().message());
    cr_assert_neq(message.find("No group is called \"appz\""),
                  std::string::npos);
}

Test(answer_kind, markers_when_read_give_the_kind)
{
    cr_assert(claimed_kind(200, "done", false) == answer_kind::done);
    cr_assert(claimed_kind(200, "", false) == answer_kind::done);
    cr_assert(claimed_kind(503, "not-run", false) == answer_kind::not_run);
    cr_assert(claimed_kind(503, "", true) == answer_kind::not_run);
    cr_assert(claimed_kind(503, "", false) == answer_kind::outcome_unknown);
    cr_assert(claimed_kind(504, "unknown", false) ==
              answer_kind::outcome_unknown);
    cr_assert(claimed_kind(409, "not-run", false) == answer_kind::in_progress);
    cr_assert(claimed_kind(400, "not-run", false) == answer_kind::refused);
    cr_assert(claimed_kind(404, "done", false) == answer_kind::refused);
}

// Guards against an answer without meaning that reaches a caller and counts as
// one of an upstream.
Test(answer_kind, invalid_status_is_a_damaged_answer)
{
    for (unsigned const status : {0U, 1U, 99U, 600U, 700U, 999U})
    {
        for (std::string_view const outcome : {"", "done", "unknown"})
        {
            cr_expect(claimed_kind(status, outcome, false) ==
                          answer_kind::not_whole,
                      "%u", status);
        }
    }
}

Test(steering_answer, page_when_parsed_is_chosen_from_by_weight)
{
    std::optional<steering_answer> const answer = parse_steering_answer(
        R"({"revision":7,"ttl_s":5,"entry_hosts":[
            {"id":"a","address":"127.0.0.1","port":1,"weight":30},
            {"id":"b","address":"127.0.0.1","port":2,"weight":70},
            {"id":"c","address":"127.0.0.1","port":3,"weight":0}]})");
    cr_assert(answer.has_value());
    cr_assert_eq(answer->from_revision, 7U);
    std::map<std::string, int> chosen;
    for (std::uint64_t lot = 0; lot < 1'000; ++lot)
    {
        ++chosen[choose_host(*answer, {}, lot)->id];
    }
    cr_assert_eq(chosen["a"], 300);
    cr_assert_eq(chosen["b"], 700);
    cr_assert_eq(choose_host(*answer, {"b"}, 99)->id, "a");
    cr_assert_not_null(choose_host(*answer, {"a", "b"}, 0));
    cr_assert_not(parse_steering_answer("{}").has_value());
}

// Guards against customers that send another share than the profile says, and
// against profiles without customers whose plans change.
Test(request_plan, customers_when_planned_send_their_shares)
{
    load_profile given = profile();
    request_plan without(given);
    cr_assert(without.next()->customer_key.empty());
    given.customers = {{"key-a", 3}, {"key-b", 1}};
    request_plan plan(given);
    std::map<std::string, int> sent;
    int count = 0;
    while (std::optional<planned_request> const request = plan.next())
    {
        ++sent[request->customer_key];
        ++count;
    }
    cr_assert_eq(sent.size(), 2U);
    cr_assert_float_eq(sent["key-a"] / static_cast<double>(count), 0.75, 0.03);
}
