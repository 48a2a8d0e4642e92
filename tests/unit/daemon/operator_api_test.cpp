#include "bilberrylead/daemon/operator_api.hpp"

#include "bilberrylead/core/error.hpp"
#include "tests/unit/config/configuration_text.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <random>
#include <string>
#include <vector>

using namespace bilberrylead;
using nlohmann::json;

namespace
{

std::string const alba_key(32, 'a');
std::string const bruno_key(32, 'b');
std::vector<config::operator_key> const operators = {{"alba", alba_key},
                                                     {"bruno", bruno_key}};

absl::StatusOr<std::string> who(std::string const& authorization)
{
    return daemon::authenticate({"GET", "/v1/status", authorization, ""},
                                operators);
}

absl::StatusOr<control::operator_request> read(std::string const& method,
                                               std::string const& target,
                                               std::string const& body = "")
{
    return daemon::read_operator_request({method, target, "", body}, "alba");
}

json change_body()
{
    return {
        {"change_id", "c1"}, {"base_revision", 4}, {"document", valid_text}};
}

/// change_body with one field set to something else.
std::string change_with(char const* field, json const& value)
{
    json body = change_body();
    body[field] = value;
    return body.dump();
}

/// change_body without one of its fields.
std::string change_without(char const* field)
{
    json body = change_body();
    body.erase(field);
    return body.dump();
}

/// A request that is refused, and the kind of its error.
struct refused_request
{
    std::string method;
    std::string target;
    std::string body;
    error_kind kind;
};

void expect_refused(std::vector<refused_request> const& rows)
{
    for (refused_request const& row : rows)
    {
        absl::StatusOr<control::operator_request> const got =
            read(row.method, row.target, row.body);
        std::string const message(got.status().message());
        cr_expect(kind_of(got.status()) == row.kind, "%s %s %s: %s",
                  row.method.c_str(), row.target.c_str(), row.body.c_str(),
                  message.c_str());
        cr_expect(daemon::write_operator_reply(got.status()).status == 400U);
    }
}

void expect_reply(control::operator_reply const& reply, unsigned status,
                  json const& body)
{
    link::http_answer const answer = daemon::write_operator_reply(reply);
    cr_expect_eq(answer.status, status);
    cr_expect(answer.content_type == "application/json");
    cr_expect(json::parse(answer.body, nullptr, false) == body, "%s",
              answer.body.c_str());
}

/// One byte changed, dropped or doubled.
std::string mutated(std::string text, std::mt19937& random)
{
    std::size_t const place = random() % text.size();
    switch (random() % 3)
    {
    case 0:
        text[place] = static_cast<char>(random() % 256);
        break;
    case 1:
        text.erase(place, 1 + random() % 8);
        break;
    default:
        text.insert(place, 1, text[place]);
    }
    return text.empty() ? "x" : text;
}

} // namespace

Test(authenticate, headers_when_not_an_operators_are_not_trusted)
{
    for (std::string const& header :
         {std::string(), std::string("Bearer "), alba_key, "Basic " + alba_key,
          "bearer " + alba_key, "Bearer " + std::string(32, 'c'),
          "Bearer " + alba_key + "a", "Bearer " + alba_key.substr(1),
          "Bearer  " + alba_key})
    {
        cr_expect(kind_of(who(header).status()) == error_kind::not_trusted,
                  "%s", header.c_str());
    }
}

Test(authenticate, right_key_names_its_operator)
{
    cr_expect(who("Bearer " + alba_key).value() == "alba");
    cr_expect(who("Bearer " + bruno_key).value() == "bruno");
}

Test(read_operator_request, reading_paths_become_their_requests)
{
    cr_expect(std::holds_alternative<control::read_status>(
        read("GET", "/v1/status").value()));
    cr_expect(std::holds_alternative<control::hand_over>(
        read("POST", "/v1/handover").value()));
    control::read_configuration const newest =
        std::get<control::read_configuration>(
            read("GET", "/v1/configuration").value());
    cr_expect_eq(newest.wanted, 0U);
    cr_expect_not(newest.allow_stale);
    control::read_configuration const old =
        std::get<control::read_configuration>(
            read("GET", "/v1/configuration?revision=7&stale").value());
    cr_expect_eq(old.wanted, 7U);
    cr_expect(old.allow_stale);
    for (std::pair<char const*, std::size_t> const& row :
         {std::pair{"/v1/audit", std::size_t{100}},
          std::pair{"/v1/audit?most=3", std::size_t{3}},
          std::pair{"/v1/audit?most=5000", std::size_t{1000}}})
    {
        cr_expect_eq(
            std::get<control::read_audit>(read("GET", row.first).value())
                .max_entries,
            row.second);
    }
}

Test(read_operator_request, change_carries_what_was_sent_and_by_whom)
{
    control::submit_change const got = std::get<control::submit_change>(
        read("POST", "/v1/changes",
             change_with("change_id", std::string(128, 'i')))
            .value());
    cr_expect(got.change.change.text() == std::string(128, 'i'));
    cr_expect_eq(got.change.base_revision, 4U);
    cr_expect(got.change.operator_name == "alba");
    cr_expect(std::string(got.change.document.begin(),
                          got.change.document.end()) == valid_text);
}

Test(read_operator_request, membership_actions_are_read)
{
    using agreement::membership_action;
    for (std::pair<char const*, membership_action> const& row :
         {std::pair{"add_voter", membership_action::add_voter},
          std::pair{"add_learner", membership_action::add_learner},
          std::pair{"remove", membership_action::remove}})
    {
        json const body = {{"action", row.first}, {"host", "c4"}};
        control::change_membership const got =
            std::get<control::change_membership>(
                read("POST", "/v1/members", body.dump()).value());
        cr_expect(got.request.action == row.second);
        cr_expect(got.request.host.text() == "c4");
    }
}

Test(read_operator_request, wrong_changes_are_refused_by_kind)
{
    using enum error_kind;
    std::string const whole = change_body().dump();
    std::string const path = "/v1/changes";
    expect_refused(
        {{"POST", path, "", syntax},
         {"POST", path, whole.substr(0, whole.size() / 2), syntax},
         {"POST", path, "[]", bad_value},
         {"POST", path, "{}", bad_value},
         {"POST", path, change_without("change_id"), bad_value},
         {"POST", path, change_with("change_id", ""), bad_value},
         {"POST", path, change_with("change_id", 3), bad_value},
         {"POST", path, change_with("change_id", std::string(129, 'i')),
          bad_value},
         {"POST", path, change_without("base_revision"), bad_value},
         {"POST", path, change_with("base_revision", "4"), bad_value},
         {"POST", path, change_with("base_revision", -1), bad_value},
         {"POST", path, change_with("base_revision", 1.5), bad_value},
         {"POST", path, change_without("document"), bad_value},
         {"POST", path, change_with("document", json::object()), bad_value},
         {"POST", path, change_with("document", "{"), syntax},
         {"POST", path, change_with("document", R"({"shift": 1})"),
          unknown_field},
         // A name that nothing defines.
         {"POST", path,
          change_with("document", valid_text_with(R"("zone": "sao-a",
                 "address")",
                                                  R"("zone": "nowhere",
                 "address")")),
          unknown_name}});
}

Test(read_operator_request, wrong_members_paths_and_numbers_are_refused)
{
    using enum error_kind;
    expect_refused(
        {{"POST", "/v1/members", "{", syntax},
         {"POST", "/v1/members", "{}", bad_value},
         {"POST", "/v1/members", R"({"action":"add","host":"c"})", bad_value},
         {"POST", "/v1/members", R"({"action":1,"host":"c"})", bad_value},
         {"POST", "/v1/members", R"({"action":"remove"})", bad_value},
         {"POST", "/v1/members", R"({"action":"remove","host":""})", bad_value},
         {"POST", "/v1/members", R"({"action":"remove","host":[]})", bad_value},
         {"GET", "/v1/configuration?revision=", "", bad_value},
         {"GET", "/v1/configuration?revision=x", "", bad_value},
         {"GET", "/v1/configuration?revision=-1", "", bad_value},
         {"GET", "/v1/configuration?revision=1x", "", bad_value},
         {"GET", "/v1/configuration?revision=18446744073709551616", "",
          bad_value},
         {"GET", "/v1/audit?most", "", bad_value},
         {"GET", "/v1/audit?most=0", "", bad_value},
         {"GET", "/v1/audit?most=1e3", "", bad_value},
         {"GET", "", "", unknown_name},
         {"GET", "/v1/", "", unknown_name},
         {"GET", "/v1/status/", "", unknown_name},
         {"GET", "/v1/changes", "", unknown_name},
         {"POST", "/v1/status", "{}", unknown_name},
         {"DELETE", "/v1/members", "{}", unknown_name},
         // The answer quotes the path, whose bytes need not be UTF-8.
         {"GET", "/\xff", "", unknown_name}});
}

Test(read_operator_request, mutated_requests_never_throw)
{
    std::mt19937 random(20261202);
    std::array<std::string, 3> const targets = {"/v1/changes", "/v1/members",
                                                "/v1/audit?most=3&stale"};
    std::array<std::string, 3> const bodies = {
        change_body().dump(), R"({"action":"remove","host":"c4"})",
        change_with("document", "{}")};
    for (int round = 0; round < 20'000; ++round)
    {
        std::string target = targets[random() % targets.size()];
        std::string body = bodies[random() % bodies.size()];
        for (std::size_t left = 1 + random() % 4; left > 0; --left)
        {
            body = mutated(body, random);
        }
        if (random() % 4 == 0)
        {
            target = mutated(target, random);
        }
        absl::StatusOr<control::operator_request> const got =
            read(random() % 4 == 0 ? "GET" : "POST", target, body);
        if (!got.ok())
        {
            cr_assert(kind_of(got.status()).has_value());
            daemon::write_operator_reply(got.status());
        }
    }
}

Test(write_operator_reply, change_outcomes_have_their_status_and_fields)
{
    using catalog::change_outcome;
    expect_reply(change_outcome(catalog::change_accepted{5}), 200,
                 {{"outcome", "accepted"}, {"revision", 5}});
    expect_reply(change_outcome(catalog::change_already_accepted{5}), 200,
                 {{"outcome", "already_accepted"}, {"revision", 5}});
    expect_reply(
        change_outcome(catalog::change_conflict{6, change_id("c2"), "bruno"}),
        409,
        {{"outcome", "conflict"},
         {"current_revision", 6},
         {"winner", "c2"},
         {"winner_operator", "bruno"}});
    expect_reply(change_outcome(catalog::change_id_reused{}), 422,
                 {{"outcome", "change_id_reused"}});
}

Test(write_operator_reply, other_replies_have_their_fields)
{
    expect_reply(control::done_reply{}, 200, {{"outcome", "done"}});
    expect_reply(control::configuration_reply{3, bytes{'{', '}'}}, 200,
                 {{"revision", 3}, {"document", "{}"}});
    expect_reply(control::audit_reply{}, 200, {{"entries", json::array()}});

    control::status_reply status;
    status.host = host_id("c1");
    status.incarnation = 2;
    status.role = agreement::role::leader;
    status.term = 3;
    status.leader = host_id("c1");
    status.commit_index = 4;
    status.last_index = 5;
    status.accepted = 6;
    status.entry_hosts = {{host_id("e1"), 6}};
    status.claims = 7;
    expect_reply(status, 200,
                 {{"host", "c1"},
                  {"incarnation", 2},
                  {"role", "leader"},
                  {"term", 3},
                  {"leader", "c1"},
                  {"commit_index", 4},
                  {"last_index", 5},
                  {"revision", 6},
                  {"members", json::array()},
                  {"entry_hosts", {{"e1", 6}}},
                  {"claims", 7}});
}

Test(write_operator_reply, audit_entry_shows_who_when_and_what)
{
    catalog::audit_entry entry;
    entry.number = 1;
    entry.change = change_id("c1");
    entry.operator_name = "alba";
    entry.document_digest = 0xab;
    entry.document_bytes = 9;
    entry.result = catalog::change_accepted{1};
    json const body = json::parse(
        daemon::write_operator_reply(control::audit_reply{{entry}}).body);
    json const& row = body.at("entries").at(0);
    cr_expect(row.at("number") == 1);
    cr_expect(row.at("change_id") == "c1");
    cr_expect(row.at("operator") == "alba");
    cr_expect(
        row.at("at").get<std::string>().starts_with("1970-01-01T00:00:00"));
    cr_expect(row.at("base_revision") == 0);
    cr_expect(row.at("document_bytes") == 9);
    cr_expect(row.at("document_digest") == "00000000000000ab");
    cr_expect(row.at("result").at("outcome") == "accepted");
}

Test(write_operator_reply, every_error_kind_has_its_status)
{
    using enum error_kind;
    for (std::pair<error_kind, unsigned> const& row :
         {std::pair{syntax, 400U}, std::pair{unknown_field, 400U},
          std::pair{missing_field, 400U}, std::pair{bad_value, 400U},
          std::pair{unknown_name, 400U}, std::pair{duplicate_name, 400U},
          std::pair{conflict, 409U}, std::pair{not_leader, 421U},
          std::pair{no_quorum, 503U}, std::pair{not_trusted, 401U},
          std::pair{storage, 503U}, std::pair{corrupt, 503U},
          std::pair{no_room, 503U}, std::pair{timeout, 504U},
          std::pair{connection, 503U}})
    {
        absl::Status const error = make_error(row.first, "What.", "Remedy.");
        expect_reply(error, row.second,
                     {{"error", std::string(to_string(row.first))},
                      {"message", std::string(error.message())}});
    }
    cr_expect_eq(
        daemon::write_operator_reply(absl::UnknownError("other")).status, 503U);
}

Test(operator_api, lift_names_the_request_and_who_asks)
{
    absl::StatusOr<control::operator_request> const request =
        read("POST", "/v1/crashes/lift", R"({"digest":"00000000000000ff"})");
    cr_assert(request.ok());
    control::lift_crash_record const* const lift =
        std::get_if<control::lift_crash_record>(&*request);
    cr_assert_not_null(lift);
    cr_expect_eq(lift->digest, 255U);
    cr_expect(lift->operator_name == "alba");
}

Test(operator_api, lift_without_a_digest_is_a_bad_value)
{
    for (std::string const body :
         {R"({})", R"({"digest":5})", R"({"digest":""})", R"({"digest":"x"})",
          R"({"digest":"12345678901234567"})", R"({"digest":"ff "})"})
    {
        absl::StatusOr<control::operator_request> const request =
            read("POST", "/v1/crashes/lift", body);
        cr_expect(kind_of(request.status()) == error_kind::bad_value, "%s",
                  body.c_str());
    }
}

Test(operator_api, admission_is_written_by_service)
{
    absl::StatusOr<control::operator_request> const request =
        read("GET", "/v1/admission");
    cr_assert(request.ok());
    cr_expect(std::holds_alternative<control::read_admission>(*request));
    control::admission_reply reply;
    reply.by_plan = true;
    reply.term = 4;
    reply.number = 9;
    reply.age = std::chrono::milliseconds(250);
    reply.hosts = 5;
    reply.reporting = 4;
    reply.services = {{service_id("s"),
                       12,
                       {{1, 24, 0.5}},
                       {{customer_id("c"), 1, 8, 0.25}}}};
    expect_reply(
        reply, 200U,
        {{"by_plan", true},
         {"term", 4U},
         {"number", 9U},
         {"age_ms", 250},
         {"hosts", 5U},
         {"reporting_hosts", 4U},
         {"services",
          {{{"name", "s"},
            {"slots", 12.0},
            {"ranks", {{{"rank", 1U}, {"demand_slots", 24.0}, {"share", 0.5}}}},
            {"customers",
             {{{"name", "c"},
               {"rank", 1U},
               {"demand_slots", 8.0},
               {"share", 0.25}}}}}}}});
}

Test(operator_api, customers_are_written_with_their_limits)
{
    absl::StatusOr<control::operator_request> const request =
        read("GET", "/v1/customers");
    cr_assert(request.ok());
    cr_expect(std::holds_alternative<control::read_customers>(*request));
    expect_reply(
        control::customers_reply{{{customer_id("c"), 2.5, 4, 1.5, 3, 10, 2, 1}},
                                 7},
        200U,
        {{"customers",
          {{{"name", "c"},
            {"per_second", 2.5},
            {"burst", 4.0},
            {"saved", 1.5},
            {"demand_per_second", 3.0},
            {"arrived", 10U},
            {"refused", 2U},
            {"share_holders", 1U}}}},
         {"omitted", 7U}});
}
