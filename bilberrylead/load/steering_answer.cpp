#include "bilberrylead/load/steering_answer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace bilberrylead::load
{

std::optional<steering_answer> parse_steering_answer(std::string_view text)
{
    try
    {
        nlohmann::json const json = nlohmann::json::parse(text);
        steering_answer answer;
        answer.from_revision = json.at("revision").get<revision>();
        answer.time_to_live =
            std::chrono::seconds(json.at("ttl_s").get<std::uint32_t>());
        for (nlohmann::json const& each : json.at("entry_hosts"))
        {
            answer.hosts.push_back({each.at("id").get<std::string>(),
                                    {each.at("address").get<std::string>(),
                                     each.at("port").get<std::uint16_t>()},
                                    each.at("weight").get<std::uint32_t>()});
        }
        return answer;
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt;
    }
}

steering_host const* choose_host(steering_answer const& answer,
                                 std::vector<std::string> const& avoided,
                                 std::uint64_t lot)
{
    std::vector<steering_host const*> candidates;
    std::uint64_t sum = 0;
    for (steering_host const& each : answer.hosts)
    {
        bool const avoid =
            std::find(avoided.begin(), avoided.end(), each.id) != avoided.end();
        if (!avoid && each.weight > 0)
        {
            candidates.push_back(&each);
            sum += each.weight;
        }
    }
    if (candidates.empty())
    {
        return answer.hosts.empty() ? nullptr
                                    : &answer.hosts[lot % answer.hosts.size()];
    }
    std::uint64_t left = lot % sum;
    for (steering_host const* const each : candidates)
    {
        if (left < each->weight)
        {
            return each;
        }
        left -= each->weight;
    }
    return candidates.back();
}

} // namespace bilberrylead::load
