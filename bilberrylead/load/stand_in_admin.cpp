#include "bilberrylead/load/stand_in_admin.hpp"

#include "bilberrylead/config/decimal.hpp"
#include "bilberrylead/load/stand_in_upstream.hpp"

#include <absl/status/status.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bilberrylead::load
{

namespace
{

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_error = 500;
constexpr unsigned status_unavailable = 503;
constexpr std::uint64_t largest_port = 65'535;

using upstream_list = std::vector<stand_in_upstream*>;

upstream_list chosen(std::string_view query,
                     std::span<stand_in_upstream* const> upstreams)
{
    std::string_view const wanted = query_field(query, "port");
    std::optional<std::uint64_t> const port =
        config::parse_decimal(wanted, largest_port);
    upstream_list result;
    for (stand_in_upstream* const each : upstreams)
    {
        if (wanted.empty() || port == each->port)
        {
            result.push_back(each);
        }
    }
    return result;
}

admin_answer error_answer(unsigned status, std::string_view text)
{
    nlohmann::json const body = {{"error", text}};
    return {status, body.dump(-1, ' ', false,
                              nlohmann::json::error_handler_t::replace)};
}

/// One upstream's report as it is, several as an object by port.
template <class Report>
admin_answer report(upstream_list const& upstreams, Report render)
{
    if (upstreams.size() == 1)
    {
        return {200, render(*upstreams.front())};
    }
    std::string body;
    for (stand_in_upstream* const each : upstreams)
    {
        body += fmt::format("{}\"{}\":{}", body.empty() ? "" : ",", each->port,
                            render(*each));
    }
    return {200, "{" + body + "}"};
}

admin_answer put_behaviour(std::string_view body,
                           upstream_list const& upstreams)
{
    for (stand_in_upstream* const each : upstreams)
    {
        absl::Status const status =
            change_behaviour(body, "body", each->model.behaviour);
        if (!status.ok())
        {
            return error_answer(status_bad_request,
                                std::string(status.message()));
        }
    }
    return {};
}

admin_answer runs_answer(upstream_list const& upstreams)
{
    run_counts sum;
    for (stand_in_upstream* const each : upstreams)
    {
        sum.merge(each->model.runs);
    }
    return {200, render_run_counts(sum)};
}

admin_answer load_answer(stand_in_upstream& upstream, instant now)
{
    if (!upstream.model.behaviour.load_answers)
    {
        return error_answer(status_error, "the load report is off");
    }
    return {200, upstream.model.load_report(now)};
}

admin_answer health_answer(stand_in_upstream const& upstream)
{
    stand_in_behaviour const& behaviour = upstream.model.behaviour;
    if (!behaviour.healthy)
    {
        return {status_unavailable, R"({"status":"unhealthy"})"};
    }
    return {200, fmt::format(R"({{"status":"{}"}})",
                             behaviour.leaving ? "leaving" : "ok")};
}

} // namespace

std::string_view query_field(std::string_view query, std::string_view name)
{
    while (!query.empty())
    {
        std::size_t const end = query.find('&');
        std::string_view const field = query.substr(0, end);
        std::size_t const equals = field.find('=');
        if (equals != std::string_view::npos && field.substr(0, equals) == name)
        {
            return field.substr(equals + 1);
        }
        query.remove_prefix(end == std::string_view::npos ? query.size()
                                                          : end + 1);
    }
    return {};
}

bool is_admin_path(std::string_view path)
{
    return path == "/load" || path == "/health" ||
           path.starts_with("/stand-in/");
}

admin_answer handle_admin(admin_request const& request,
                          std::span<stand_in_upstream* const> upstreams,
                          instant now, wall_time wall)
{
    upstream_list const selected = chosen(request.query, upstreams);
    if (selected.empty())
    {
        return error_answer(status_not_found, "no upstream has this port");
    }
    std::string const what = fmt::format("{} {}", request.method, request.path);
    if (what == "GET /load")
    {
        return load_answer(*selected.front(), now);
    }
    if (what == "GET /health")
    {
        return health_answer(*selected.front());
    }
    if (what == "GET /stand-in/runs")
    {
        return runs_answer(selected);
    }
    if (what == "GET /stand-in/requests")
    {
        return report(selected,
                      [now, wall](stand_in_upstream const& each)
                      {
                          return each.model.request_report(now, wall);
                      });
    }
    if (what == "GET /stand-in/behaviour")
    {
        return report(selected,
                      [](stand_in_upstream const& each)
                      {
                          return render_behaviour(each.model.behaviour);
                      });
    }
    if (what == "PUT /stand-in/behaviour")
    {
        return put_behaviour(request.body, selected);
    }
    if (what == "POST /stand-in/silence")
    {
        for (stand_in_upstream* const each : selected)
        {
            each->silence();
        }
        return {};
    }
    return error_answer(status_not_found, "no such admin path or method");
}

} // namespace bilberrylead::load
