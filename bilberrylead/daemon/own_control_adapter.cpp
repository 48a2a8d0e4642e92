#include "bilberrylead/daemon/own_control_adapter.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/daemon/operator_api.hpp"
#include "bilberrylead/daemon/own_entry_adapter.hpp"
#include "bilberrylead/link/query.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace bilberrylead::daemon
{

namespace
{

using json = nlohmann::json;

/// One upstream of a page; nothing if a field is missing or of another type.
std::optional<discovery::reported_upstream> read_upstream(json const& entry)
{
    discovery::reported_upstream told;
    config::upstream& upstream = told.upstream;
    bool const texts = entry.is_object() && entry.contains("name") &&
                       entry["name"].is_string() && entry.contains("service") &&
                       entry["service"].is_string() && entry.contains("zone") &&
                       entry["zone"].is_string() && entry.contains("address") &&
                       entry["address"].is_string();
    if (!texts)
    {
        return std::nullopt;
    }
    std::optional<config::endpoint> const address =
        config::parse_endpoint(entry["address"].get<std::string>());
    json const slots = entry.value("slots", json(1U));
    json const leaving = entry.value("leaving", json(false));
    json const cold = entry.value("cold_ms", json(0U));
    json const started = entry.value("started_ms", json(0U));
    if (!address.has_value() || !slots.is_number_unsigned() ||
        slots.get<std::uint64_t>() == 0 || !leaving.is_boolean() ||
        !cold.is_number_unsigned() || !started.is_number_unsigned())
    {
        return std::nullopt;
    }
    upstream.id = upstream_id(entry["name"].get<std::string>());
    upstream.service = service_id(entry["service"].get<std::string>());
    upstream.zone = zone_id(entry["zone"].get<std::string>());
    upstream.address = *address;
    upstream.slots = slots.get<std::uint32_t>();
    upstream.leaving = leaving.get<bool>();
    told.cold_remaining = std::chrono::milliseconds(cold.get<std::uint32_t>());
    if (started.get<std::uint64_t>() != 0)
    {
        told.started_at =
            wall_time(std::chrono::milliseconds(started.get<std::int64_t>()));
    }
    return told;
}

} // namespace

absl::StatusOr<control::operator_request>
own_control_adapter::read_operator_request(link::http_request const& request,
                                           std::string const& operator_name)
{
    return daemon::read_operator_request(request, operator_name);
}

link::http_answer own_control_adapter::write_operator_reply(
    link::http_request const&, control::operator_reply const& reply,
    std::optional<config::endpoint> const&)
{
    return daemon::write_operator_reply(reply);
}

absl::StatusOr<presence::steering_query>
own_control_adapter::read_steering_question(link::http_request const& request)
{
    link::query const asked(request.target);
    if (request.method != "GET" || asked.path() != "/steering")
    {
        return make_error(error_kind::unknown_name, "There is no such page.",
                          "Ask for /steering?region=REGION&zone=ZONE.");
    }
    return presence::steering_query{region_id(asked.text("region")),
                                    zone_id(asked.text("zone")),
                                    asked.text("name"), std::nullopt};
}

link::http_answer own_control_adapter::write_steering_reply(
    presence::steering_reply const& steering)
{
    json hosts = json::array();
    for (config::endpoint const& host : steering.entry_hosts)
    {
        hosts.push_back(to_string(host));
    }
    link::http_answer answer;
    answer.status = steering.entry_hosts.empty() ? 503 : 200;
    answer.body =
        json{{"entry_hosts", hosts},
             {"ttl_s", std::chrono::duration<double>(steering.ttl).count()}}
            .dump();
    return answer;
}

absl::StatusOr<accepted_revision>
own_control_adapter::read_revision(bytes const& document)
{
    return own_entry_adapter::read_revision(document);
}

std::string own_control_adapter::list_target(discovery::page_call const& call)
{
    return link::target_with_query(
        "/upstreams", {{"zone", call.zone.text()}, {"page", call.page}});
}

absl::StatusOr<discovery::list_page>
own_control_adapter::read_list_page(std::string const& body)
{
    json const content = json::parse(body, nullptr, false);
    bool const whole = content.is_object() && content.contains("upstreams") &&
                       content["upstreams"].is_array();
    if (!whole)
    {
        return make_error(error_kind::syntax,
                          "The page of the list of upstreams is not readable.",
                          "See who answers at the list's address.");
    }
    discovery::list_page page;
    for (json const& entry : content["upstreams"])
    {
        page.add(read_upstream(entry));
    }
    json const next = content.value("next", json());
    page.next = next.is_string() ? next.get<std::string>() : std::string();
    return page;
}

} // namespace bilberrylead::daemon
