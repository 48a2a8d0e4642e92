#include "bilberrylead/http/steering_page.hpp"

#include "bilberrylead/http/local_answer.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <vector>

namespace bilberrylead::http
{

namespace
{

using beast::http::status;

std::string service_named(std::string_view query)
{
    constexpr std::string_view name = "service=";
    while (!query.empty())
    {
        std::size_t const end = query.find('&');
        std::string_view const pair = query.substr(0, end);
        if (pair.substr(0, name.size()) == name)
        {
            return std::string(pair.substr(name.size()));
        }
        query = end == std::string_view::npos ? std::string_view{}
                                              : query.substr(end + 1);
    }
    return {};
}

} // namespace

whole_answer make_steering_page(entry::entry_reducer const& decisions,
                                std::string_view query,
                                std::string const& caller_address,
                                header_names const& names)
{
    entry::routing_table const* routes = decisions.routes();
    if (routes == nullptr)
    {
        return make_answer(
            entry::answer_not_run{{},
                                  entry::refusal_reason::not_ready,
                                  decisions.settings().retry_after},
            names);
    }
    service_id const service(service_named(query));
    if (routes->find_service(service) == nullptr)
    {
        return make_refusal(status::not_found, "No service has this name.",
                            "Ask for /steering?service=NAME.");
    }
    // A caller nobody has placed is near the host it asked.
    zone_id zone = routes->locate_caller(caller_address).zone;
    if (zone.empty())
    {
        zone = decisions.settings().zone;
    }
    nlohmann::json hosts = nlohmann::json::array();
    for (config::entry_host const* host : routes->entry_hosts_for(zone))
    {
        if (decisions.draining() && host->id == decisions.settings().self)
        {
            continue;
        }
        hosts.push_back({{"id", host->id.text()},
                         {"zone", host->zone.text()},
                         {"address", host->address.address},
                         {"port", host->address.port},
                         {"weight", host->weight}});
    }
    std::int64_t const ttl = std::chrono::floor<std::chrono::seconds>(
                                 decisions.settings().steering_ttl)
                                 .count();
    nlohmann::json const page = {{"service", service.text()},
                                 {"revision", decisions.revision_in_force()},
                                 {"ttl_s", ttl},
                                 {"entry_hosts", hosts}};
    return make_page(status::ok, page.dump());
}

} // namespace bilberrylead::http
