#include "deployment.hpp"

#include "scenario_files.hpp"

#include <nlohmann/json.hpp>

#include <stdexcept>

/// Settings of the hosts.

namespace bilberrylead::scenario
{

namespace
{

using json = nlohmann::json;

constexpr char const* peer_key = "a-shared-peer-key-for-scenarios-only-0001";
/// Enough to read a small list several times a second.
constexpr int list_calls_per_s = 10;

json places_of(config::configuration const& configuration)
{
    json places = json::array();
    for (config::place const& place : configuration.places)
    {
        places.push_back(
            {{"zone", place.zone.text()}, {"region", place.region.text()}});
    }
    return places;
}

} // namespace

void deployment::add_settings(bool controls, std::string const& fields)
{
    json const wanted = json::parse(fields, nullptr, false);
    if (!wanted.is_object())
    {
        throw std::runtime_error("no JSON object: " + fields);
    }
    std::string& added = this->added_settings[controls];
    json merged = added.empty() ? json::object() : json::parse(added);
    merged.update(wanted);
    added = merged.dump();
}

void deployment::serve_upstream_list()
{
    this->list = std::make_unique<upstream_list>();
    for (config::upstream const& each : this->configuration.upstreams)
    {
        this->list->add(each);
    }
}

std::string deployment::region_of(std::string const& zone) const
{
    for (config::place const& place : this->configuration.places)
    {
        if (place.zone.text() == zone)
        {
            return place.region.text();
        }
    }
    return {};
}

std::string deployment::write_settings(std::string const& name)
{
    host const& self = this->hosts.at(name);
    json settings = {
        {"name", name},
        {"zone", self.zone},
        {"region", this->region_of(self.zone)},
        {"peer_listen", loopback(self.peer_port)},
        {"metrics_listen", loopback(self.metrics_port)},
        {"control_hosts", json::parse(this->host_list(name, true))},
        {"peer_key", peer_key}};
    if (self.is_control)
    {
        std::filesystem::path const data = this->home / (name + ".data");
        std::filesystem::create_directories(data);
        settings["data_folder"] = data.string();
        settings["operator_listen"] = loopback(self.second_port);
        settings["operators"] =
            json::array({{{"name", "scenario"}, {"key", operator_key}}});
        if (this->list != nullptr)
        {
            settings["places"] = places_of(this->configuration);
            settings["upstream_list"] = loopback(this->list->port());
            settings["upstream_list_calls_per_s"] = list_calls_per_s;
        }
    }
    else
    {
        settings["caller_listen"] = loopback(self.second_port);
        settings["neighbours"] = json::parse(this->host_list(name, false));
    }
    std::map<bool, std::string>::const_iterator const added =
        this->added_settings.find(self.is_control);
    if (added != this->added_settings.end())
    {
        settings.update(json::parse(added->second));
    }
    return this->write_file(name + ".jsonc", settings.dump(2));
}

std::string deployment::host_list(std::string const& self, bool controls)
{
    json list = json::array();
    std::string const& zone = this->hosts.at(self).zone;
    for (std::map<std::string, host>::value_type const& row : this->hosts)
    {
        bool const wanted = controls ? row.second.is_control
                                     : !row.second.is_control &&
                                           row.second.zone == zone &&
                                           row.first != self;
        if (wanted)
        {
            std::uint16_t const port =
                row.first == self ? row.second.peer_port
                                  : this->port_towards(self, row.first);
            list.push_back({{"name", row.first}, {"address", loopback(port)}});
        }
    }
    return list.dump();
}

} // namespace bilberrylead::scenario
