#include "bilberrylead/load/run_counts.hpp"

#include <nlohmann/json.hpp>

namespace bilberrylead::load
{

namespace
{

using count_map = std::unordered_map<std::string, std::uint32_t>;

void merge_map(count_map const& from, count_map& into)
{
    for (count_map::value_type const& each : from)
    {
        into[each.first] += each.second;
    }
}

} // namespace

void run_counts::add(std::string_view request, std::string_view key)
{
    if (!request.empty())
    {
        ++this->requests[std::string(request)];
    }
    if (!key.empty())
    {
        ++this->keys[std::string(key)];
    }
}

void run_counts::merge(run_counts const& other)
{
    merge_map(other.requests, this->requests);
    merge_map(other.keys, this->keys);
}

std::string render_run_counts(run_counts const& value)
{
    nlohmann::json const json = {{"requests", value.requests},
                                 {"keys", value.keys}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool merge_run_counts(std::string_view text, run_counts& into)
{
    try
    {
        nlohmann::json const json = nlohmann::json::parse(text);
        run_counts const counts{json.at("requests").get<count_map>(),
                                json.at("keys").get<count_map>()};
        into.merge(counts);
        return true;
    }
    catch (nlohmann::json::exception const&)
    {
        return false;
    }
}

} // namespace bilberrylead::load
