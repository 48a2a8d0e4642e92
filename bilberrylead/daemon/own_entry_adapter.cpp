#include "bilberrylead/daemon/own_entry_adapter.hpp"

#include "bilberrylead/config/parse_configuration.hpp"

#include <string_view>
#include <utility>

namespace bilberrylead::daemon
{

http::header_names own_entry_adapter::names()
{
    http::header_names names;
    names.load = "Bilberry-Load";
    return names;
}

absl::StatusOr<accepted_revision>
own_entry_adapter::read_revision(bytes const& document)
{
    std::string_view const text(reinterpret_cast<char const*>(document.data()),
                                document.size());
    absl::StatusOr<config::configuration> parsed =
        config::parse_configuration(text, "revision");
    if (!parsed.ok())
    {
        return parsed.status();
    }
    return accepted_revision{
        std::make_shared<config::configuration const>(*std::move(parsed)), {}};
}

bool own_entry_adapter::asks_whether_ready(link::http_request const& request)
{
    return request.method == "GET" && request.target == "/ready";
}

} // namespace bilberrylead::daemon
