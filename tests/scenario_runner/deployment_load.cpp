#include "deployment.hpp"

#include "scenario_files.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

/// Loads: their profiles, and what they report.

namespace bilberrylead::scenario
{

namespace
{

using json = nlohmann::json;

constexpr std::chrono::seconds load_patience{120};

} // namespace

void deployment::start_load(std::string const& name, std::string const& service,
                            std::uint32_t rate, std::uint32_t seconds,
                            std::uint32_t depth)
{
    std::vector<config::service> const& services = this->configuration.services;
    std::vector<config::service>::const_iterator const found =
        std::find_if(services.begin(), services.end(),
                     [&service](config::service const& row)
                     {
                         return row.id.text() == service;
                     });
    if (found == services.end())
    {
        throw std::runtime_error("no service " + service);
    }
    bool const is_long = found->length == config::work_length::extended;
    json request = {{"name", service},
                    {"service", service},
                    {"callers", "all"},
                    {"guarded", found->guarded},
                    {"idempotent", found->idempotent},
                    {"deadline_ms", is_long ? 60000 : 2000}};
    if (found->guarded)
    {
        request["request_bytes"] = 200;
        request["resend_percent"] = 20;
    }
    if (is_long)
    {
        request["path"] = "/download";
        request["answer_bytes"] = 2000000;
    }
    json const profile = {
        {"rate_per_s", rate},
        {"length_ms", seconds * 1000},
        {"pipeline_depth", depth},
        {"requests", json::array({request})},
        {"callers", json::array({{{"name", "all"}, {"callers", 40}}})}};
    std::vector<std::string> arguments = {
        "--profile", this->write_file(name + ".jsonc", profile.dump(2))};
    for (std::string const& entry : this->entry_names())
    {
        arguments.push_back("--steering");
        arguments.push_back(loopback(this->caller_port(entry)));
    }
    for (std::map<std::string, stand_in>::value_type const& row :
         this->stand_ins)
    {
        arguments.push_back("--stand-ins");
        arguments.push_back(loopback(row.second.admin_port));
    }
    this->loads[name] = this->run(name, "bilberry-load", arguments);
}

std::string deployment::finish_load(std::string const& name)
{
    this->loads.at(name)->wait(load_patience);
    this->loads.erase(name);
    return read_all(this->home / (name + ".out"));
}

} // namespace bilberrylead::scenario
