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
                            load_options const& options)
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
    if (!options.path.empty())
    {
        request["path"] = options.path;
    }
    json profile = {
        {"rate_per_s", options.rate},
        {"length_ms", std::chrono::milliseconds(options.length).count()},
        {"pipeline_depth", options.depth},
        {"requests", json::array({request})},
        {"callers", json::array({{{"name", "all"}, {"callers", 40}}})}};
    if (!options.customer_key.empty())
    {
        profile["customers"] =
            json::array({{{"key", options.customer_key}, {"weight", 1}}});
    }
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
