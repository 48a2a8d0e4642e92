#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/parse_configuration.hpp"
#include "bilberrylead/load/stand_in_server.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <tclap/CmdLine.h>

#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace
{

using bilberrylead::config::configuration;
using bilberrylead::load::stand_in_behaviour;
using bilberrylead::load::stand_in_place;

constexpr int exit_usage = 2;

/// What the command line says.
struct options
{
    std::uint32_t ports = 1;
    std::uint16_t first_port = 0;
    std::uint16_t admin_port = 0;
    std::string address;
    std::string behaviour_file;
    std::string behaviour_text;
    std::string configuration_file;
    std::uint64_t seed = 1;
};

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine line("Stands for one or many upstreams, for tests and "
                        "measurements. Prints one JSON line with its ports "
                        "when it is ready; see docs/LOAD.md.");
    TCLAP::ValueArg<std::uint32_t> ports("", "ports", "Number of upstreams",
                                         false, 1, "count", line);
    TCLAP::ValueArg<std::uint16_t> first("", "first-port",
                                         "First port; 0 takes free ones", false,
                                         0, "port", line);
    TCLAP::ValueArg<std::uint16_t> admin(
        "", "admin-port", "Port for the admin paths of all upstreams", false, 0,
        "port", line);
    TCLAP::ValueArg<std::string> address("", "address", "Address to listen on",
                                         false, "127.0.0.1", "IP", line);
    TCLAP::ValueArg<std::string> file(
        "", "behaviour", "File with the behaviour, JSON with comments", false,
        "", "file", line);
    TCLAP::ValueArg<std::string> text(
        "", "set", "Behaviour as JSON text, after the file's", false, "",
        "JSON", line);
    TCLAP::ValueArg<std::string> configured(
        "", "configuration",
        "Stand for every upstream of this configuration file", false, "",
        "file", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of all lots", false,
                                        1, "number", line);
    line.parse(argc, argv);
    return {ports.getValue(),      first.getValue(), admin.getValue(),
            address.getValue(),    file.getValue(),  text.getValue(),
            configured.getValue(), seed.getValue()};
}

/// The file's text, empty if it cannot be read (which then is no JSON).
std::string read_file(std::string const& path)
{
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

absl::StatusOr<stand_in_behaviour> behaviour_of(options const& given)
{
    stand_in_behaviour value;
    if (!given.behaviour_file.empty())
    {
        absl::Status status = change_behaviour(read_file(given.behaviour_file),
                                               given.behaviour_file, value);
        if (!status.ok())
        {
            return status;
        }
    }
    if (!given.behaviour_text.empty())
    {
        absl::Status status =
            change_behaviour(given.behaviour_text, "--set", value);
        if (!status.ok())
        {
            return status;
        }
    }
    return value;
}

absl::StatusOr<std::vector<stand_in_place>> places_of(options const& given)
{
    absl::StatusOr<stand_in_behaviour> const behaviour = behaviour_of(given);
    if (!behaviour.ok())
    {
        return behaviour.status();
    }
    std::vector<stand_in_place> places;
    if (given.configuration_file.empty())
    {
        for (std::uint32_t index = 0; index < given.ports; ++index)
        {
            std::uint32_t const port =
                given.first_port == 0 ? 0 : given.first_port + index;
            places.push_back({{given.address, static_cast<std::uint16_t>(port)},
                              *behaviour});
        }
        return places;
    }
    absl::StatusOr<configuration> const whole =
        bilberrylead::config::parse_configuration(
            read_file(given.configuration_file), given.configuration_file);
    if (!whole.ok())
    {
        return whole.status();
    }
    for (bilberrylead::config::upstream const& each : whole->upstreams)
    {
        stand_in_place place{each.address, *behaviour};
        place.behaviour.slots = each.slots;
        place.behaviour.connections = each.connections;
        places.push_back(place);
    }
    return places;
}

int run(options const& given)
{
    absl::StatusOr<std::vector<stand_in_place>> const places = places_of(given);
    if (!places.ok())
    {
        fmt::print(stderr, "{}\n", std::string(places.status().message()));
        return exit_usage;
    }
    bilberrylead::load::stand_in_server server(*places, given.seed);
    absl::Status const status =
        server.listen({given.address, given.admin_port});
    if (!status.ok())
    {
        fmt::print(stderr, "{}\n", std::string(status.message()));
        return 1;
    }
    fmt::print("{{\"ports\":[{}],\"admin_port\":{}}}\n",
               fmt::join(server.ports(), ","), server.admin_port());
    std::fflush(stdout);
    server.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(parse_options(argc, argv));
    }
    catch (std::exception const& error)
    {
        fmt::print(stderr, "stand_in_upstream: {}\n", error.what());
        return 1;
    }
}
