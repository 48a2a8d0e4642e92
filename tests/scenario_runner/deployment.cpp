#include "deployment.hpp"

#include "free_port.hpp"
#include "scenario_files.hpp"

#include "bilberrylead/config/parse_configuration.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace bilberrylead::scenario
{

namespace
{

using json = nlohmann::json;

constexpr std::chrono::seconds ctl_patience{60};

/// Ports of a stand-in follow each other, so they are looked for together.
std::uint16_t free_port_range(std::uint32_t count)
{
    std::uint16_t first = free_port();
    std::uint16_t last = first;
    while (last - first + 1U < count)
    {
        std::uint16_t const next = free_port();
        if (next != last + 1)
        {
            first = next;
        }
        last = next;
    }
    return first;
}

} // namespace

deployment::deployment(std::filesystem::path binaries)
    : binaries(std::move(binaries))
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "bilberry-scenario-XXXXXX")
            .string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    this->home = pattern;
}

deployment::~deployment()
{
    this->loads.clear();
    this->processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->home, ignored);
}

void deployment::add_zone(std::string const& zone, std::string const& region)
{
    this->configuration.places.push_back(
        {zone_id(zone), region_id(region), {}});
}

void deployment::add_control(std::string const& name, std::string const& zone)
{
    this->hosts[name] = {zone, true, free_port(), free_port(), free_port()};
}

void deployment::add_entry(std::string const& name, std::string const& zone)
{
    host const added = {zone, false, free_port(), free_port(), free_port()};
    this->hosts[name] = added;
    config::entry_host entry;
    entry.id = host_id(name);
    entry.zone = zone_id(zone);
    entry.address = {"127.0.0.1", added.second_port};
    entry.peer_address = {"127.0.0.1", added.peer_port};
    this->configuration.entry_hosts.push_back(entry);
}

void deployment::add_service(std::string const& name, std::string const& kind)
{
    config::service service;
    service.id = service_id(name);
    service.idempotent = kind != "grants";
    service.guarded = kind == "grants";
    service.length = kind == "downloads" ? config::work_length::extended
                                         : config::work_length::brief;
    service.deadline = kind == "downloads" ? std::chrono::seconds(60)
                                           : std::chrono::seconds(2);
    this->configuration.services.push_back(service);
}

void deployment::add_upstreams(std::string const& service, std::uint32_t count,
                               std::string const& zone,
                               std::string const& behaviour)
{
    stand_in added;
    added.count = count;
    added.first_port = free_port_range(count);
    added.admin_port = free_port();
    added.behaviour = behaviour;
    std::string const name = service + "-" + zone;
    for (std::uint32_t number = 0; number < count; ++number)
    {
        config::upstream upstream;
        upstream.id = upstream_id(fmt::format("{}-{}", name, number + 1));
        upstream.service = service_id(service);
        upstream.zone = zone_id(zone);
        upstream.address = {
            "127.0.0.1", static_cast<std::uint16_t>(added.first_port + number)};
        upstream.slots = json::parse(behaviour).value("slots", upstream.slots);
        this->configuration.upstreams.push_back(upstream);
        if (this->list != nullptr)
        {
            this->list->add(upstream);
        }
    }
    this->stand_ins[name] = added;
}

void deployment::start(std::string const& name)
{
    std::map<std::string, stand_in>::const_iterator const standing =
        this->stand_ins.find(name);
    if (standing != this->stand_ins.end())
    {
        stand_in const& wanted = standing->second;
        this->processes[name] = this->run(
            name, "stand_in_upstream",
            {"--ports", std::to_string(wanted.count), "--first-port",
             std::to_string(wanted.first_port), "--admin-port",
             std::to_string(wanted.admin_port), "--set", wanted.behaviour});
        return;
    }
    bool const is_control = this->hosts.at(name).is_control;
    this->processes[name] =
        this->run(name, is_control ? "bilberry-control" : "bilberry-entry",
                  {this->write_settings(name)});
}

void deployment::start_all()
{
    for (std::map<std::string, stand_in>::value_type const& row :
         this->stand_ins)
    {
        if (!this->processes.contains(row.first))
        {
            this->start(row.first);
        }
    }
    for (std::map<std::string, host>::value_type const& row : this->hosts)
    {
        if (!this->processes.contains(row.first))
        {
            this->start(row.first);
        }
    }
}

child_process& deployment::process(std::string const& name)
{
    return *this->processes.at(name);
}

void deployment::kill(std::string const& name)
{
    this->processes.at(name)->signal(SIGKILL);
    this->processes.at(name)->wait(std::chrono::seconds(10));
    this->processes.erase(name);
}

void deployment::lose_disk(std::string const& name)
{
    std::filesystem::remove_all(this->home / (name + ".data"));
}

void deployment::cut(std::string const& name,
                     std::vector<std::string> const& others,
                     relay_mode outgoing, relay_mode incoming)
{
    for (std::string const& other : others)
    {
        this->port_towards(name, other);
        this->port_towards(other, name);
        this->relays.at({name, other})->set(outgoing, incoming);
        this->relays.at({other, name})->set(incoming, outgoing);
    }
}

void deployment::cut_zone(std::string const& zone, relay_mode mode)
{
    for (std::map<std::string, host>::value_type const& inside : this->hosts)
    {
        for (std::map<std::string, host>::value_type const& other : this->hosts)
        {
            if (inside.second.zone == zone && other.second.zone != zone)
            {
                this->cut(inside.first, {other.first}, mode, mode);
            }
        }
    }
}

void deployment::heal()
{
    for (auto& [ends, between] : this->relays)
    {
        between->set(relay_mode::open, relay_mode::open);
    }
}

void deployment::delay_regions(std::chrono::milliseconds one_way)
{
    this->region_delay = one_way;
}

void deployment::signal_all(std::vector<std::string> const& names, int number)
{
    for (std::string const& name : names)
    {
        this->processes.at(name)->signal(number);
    }
    if (number == SIGKILL)
    {
        for (std::string const& name : names)
        {
            this->kill(name);
        }
    }
}

int deployment::ctl(std::vector<std::string> arguments)
{
    return this->ctl_at(this->control_names(), std::move(arguments));
}

int deployment::ctl_at(std::vector<std::string> const& controls,
                       std::vector<std::string> arguments)
{
    for (std::string const& name : controls)
    {
        arguments.push_back("--control");
        arguments.push_back(loopback(this->hosts.at(name).second_port));
    }
    arguments.insert(arguments.end(), {"--key", operator_key});
    std::string const name = fmt::format("ctl-{}", ++this->runs);
    std::unique_ptr<child_process> const child =
        this->run(name, "bilberryctl", arguments);
    int const result = child->wait(ctl_patience).value_or(-1);
    this->output = read_all(this->home / (name + ".out"));
    return result;
}

std::string const& deployment::last_output() const
{
    return this->output;
}

std::string deployment::leader()
{
    this->ctl({"status", "--output", "json"});
    json const status = json::parse(this->output, nullptr, false);
    if (!status.is_object())
    {
        return {};
    }
    // A frozen or cut off host may still name itself: the newest term wins.
    std::string name;
    std::uint64_t newest = 0;
    for (json const& row : status.at("control_hosts"))
    {
        std::uint64_t const term = row.value("term", std::uint64_t{0});
        if (row.value("role", "") == "leader" && term > newest)
        {
            newest = term;
            name = row.value("host", "");
        }
    }
    return name;
}

std::string deployment::write_configuration()
{
    config::configuration content = this->configuration;
    if (this->list != nullptr)
    {
        content.upstreams.clear();
    }
    return this->write_file("configuration.jsonc",
                            config::render_configuration(content));
}

config::configuration& deployment::declared()
{
    return this->configuration;
}

std::uint16_t deployment::caller_port(std::string const& entry) const
{
    return this->hosts.at(entry).second_port;
}

std::uint16_t deployment::metrics_port(std::string const& name) const
{
    return this->hosts.at(name).metrics_port;
}

std::filesystem::path deployment::log_file(std::string const& name) const
{
    return this->home / (name + ".out");
}

std::uint16_t deployment::admin_port(std::string const& stand_in) const
{
    return this->stand_ins.at(stand_in).admin_port;
}

std::uint16_t deployment::upstream_port(std::string const& upstream) const
{
    for (config::upstream const& row : this->configuration.upstreams)
    {
        if (row.id.text() == upstream)
        {
            return row.address.port;
        }
    }
    throw std::runtime_error("no upstream " + upstream);
}

std::vector<std::string> deployment::entry_names() const
{
    std::vector<std::string> names;
    for (std::map<std::string, host>::value_type const& row : this->hosts)
    {
        if (!row.second.is_control)
        {
            names.push_back(row.first);
        }
    }
    return names;
}

std::vector<std::string> deployment::control_names() const
{
    std::vector<std::string> names;
    for (std::map<std::string, host>::value_type const& row : this->hosts)
    {
        if (row.second.is_control)
        {
            names.push_back(row.first);
        }
    }
    return names;
}

std::vector<std::string> deployment::stand_in_names() const
{
    std::vector<std::string> names;
    names.reserve(this->stand_ins.size());
    for (std::map<std::string, stand_in>::value_type const& row :
         this->stand_ins)
    {
        names.push_back(row.first);
    }
    return names;
}

std::filesystem::path const& deployment::folder() const
{
    return this->home;
}

std::uint16_t deployment::port_towards(std::string const& from,
                                       std::string const& to)
{
    std::unique_ptr<relay>& between = this->relays[{from, to}];
    if (!between)
    {
        host const& target = this->hosts.at(to);
        between = std::make_unique<relay>(target.peer_port);
        if (this->region_of(this->hosts.at(from).zone) !=
            this->region_of(target.zone))
        {
            between->set_delay(this->region_delay);
        }
    }
    return between->port();
}

std::string deployment::write_file(std::string const& name,
                                   std::string const& text)
{
    std::filesystem::path const path = this->home / name;
    std::ofstream(path) << text;
    return path.string();
}

std::unique_ptr<child_process>
deployment::run(std::string const& name, std::string const& program,
                std::vector<std::string> arguments)
{
    return std::make_unique<child_process>(
        (this->binaries / program).string(), std::move(arguments),
        (this->home / (name + ".out")).string(),
        (this->home / (name + ".log")).string());
}

} // namespace bilberrylead::scenario
