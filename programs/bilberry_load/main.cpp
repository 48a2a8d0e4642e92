#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/load/latency_plot.hpp"
#include "bilberrylead/load/load_profile.hpp"
#include "bilberrylead/load/load_run.hpp"

#include <absl/status/statusor.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace
{

using bilberrylead::error_kind;
using bilberrylead::make_error;
using bilberrylead::config::endpoint;
using bilberrylead::load::load_profile;
using bilberrylead::load::load_run_result;
using bilberrylead::load::load_run_settings;

constexpr int exit_usage = 2;

/// What the command line says.
struct options
{
    std::string profile_file;
    std::vector<std::string> steering;
    std::vector<std::string> direct;
    std::vector<std::string> stand_ins;
    std::uint32_t rate = 0;
    std::uint32_t length_s = 0;
    std::optional<std::uint64_t> seed;
    std::string tag;
    std::string json_file;
    std::string svg_file;
};

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine line(
        "Plays callers from a profile, checks every answer and prints one "
        "JSON object last; see docs/LOAD.md. Exit codes: 0 the run ended, 1 "
        "it could not be done, 2 wrong usage.");
    TCLAP::ValueArg<std::string> profile(
        "", "profile", "Profile, JSON with comments", true, "", "file", line);
    TCLAP::MultiArg<std::string> steering("", "steering",
                                          "Entry host to ask for steering",
                                          false, "host:port", line);
    TCLAP::MultiArg<std::string> direct("", "direct",
                                        "Upstream to send to without steering",
                                        false, "host:port", line);
    TCLAP::MultiArg<std::string> stand_ins(
        "", "stand-ins", "Stand-in to collect run counts from", false,
        "host:port", line);
    TCLAP::ValueArg<std::uint32_t> rate(
        "", "rate", "Requests a second instead of the profile's", false, 0,
        "number", line);
    TCLAP::ValueArg<std::uint32_t> length("", "duration-s",
                                          "Length instead of the profile's",
                                          false, 0, "seconds", line);
    TCLAP::ValueArg<std::uint64_t> seed(
        "", "seed", "Seed instead of the profile's", false, 0, "number", line);
    TCLAP::ValueArg<std::string> tag(
        "", "tag", "Leads every request id; by default a new one each run",
        false, "", "text", line);
    TCLAP::ValueArg<std::string> json("", "json", "Also write the report here",
                                      false, "", "file", line);
    TCLAP::ValueArg<std::string> svg("", "svg", "Draw latency over time here",
                                     false, "", "file", line);
    line.parse(argc, argv);
    options given{profile.getValue(),   steering.getValue(), direct.getValue(),
                  stand_ins.getValue(), rate.getValue(),     length.getValue(),
                  std::nullopt,         tag.getValue(),      json.getValue(),
                  svg.getValue()};
    if (seed.isSet())
    {
        given.seed = seed.getValue();
    }
    return given;
}

absl::StatusOr<std::vector<endpoint>>
endpoints_of(std::vector<std::string> const& texts)
{
    std::vector<endpoint> result;
    for (std::string const& text : texts)
    {
        std::optional<endpoint> const parsed =
            bilberrylead::config::parse_endpoint(text);
        if (!parsed.has_value())
        {
            return make_error(error_kind::bad_value,
                              fmt::format("\"{}\" is no address.", text),
                              "Write 127.0.0.1:8080.");
        }
        result.push_back(*parsed);
    }
    return result;
}

absl::StatusOr<load_profile> profile_of(options const& given)
{
    std::ifstream stream(given.profile_file);
    std::string const text{std::istreambuf_iterator<char>(stream), {}};
    absl::StatusOr<load_profile> profile =
        bilberrylead::load::parse_load_profile(text, given.profile_file);
    if (profile.ok())
    {
        profile->rate_per_s = given.rate > 0 ? given.rate : profile->rate_per_s;
        if (given.length_s > 0)
        {
            profile->length = std::chrono::seconds(given.length_s);
        }
        profile->seed = given.seed.value_or(profile->seed);
    }
    return profile;
}

/// A tag that no other run has: the same key again would be answered from
/// the record of the earlier run.
std::string fresh_tag()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

absl::StatusOr<load_run_settings> settings_of(options const& given)
{
    absl::StatusOr<std::vector<endpoint>> steering =
        endpoints_of(given.steering);
    absl::StatusOr<std::vector<endpoint>> direct = endpoints_of(given.direct);
    absl::StatusOr<std::vector<endpoint>> stand_ins =
        endpoints_of(given.stand_ins);
    for (absl::Status const& status :
         {steering.status(), direct.status(), stand_ins.status()})
    {
        if (!status.ok())
        {
            return status;
        }
    }
    if (steering->empty() == direct->empty())
    {
        return make_error(error_kind::bad_value,
                          "The run needs either --steering or --direct.",
                          "Name at least one of one kind.");
    }
    return load_run_settings{*steering, *direct, *stand_ins,
                             given.tag.empty() ? fresh_tag() : given.tag};
}

nlohmann::ordered_json report_of(load_run_result const& result,
                                 load_profile const& profile)
{
    nlohmann::ordered_json json = result.tally.report(result.runs);
    std::chrono::duration<double> const elapsed = result.elapsed;
    std::chrono::duration<double, std::milli> const delay = result.worst_delay;
    json["rate_per_s"] = profile.rate_per_s;
    json["elapsed_s"] = elapsed.count();
    json["seed"] = profile.seed;
    json["sender_worst_delay_ms"] = delay.count();
    json["stand_ins_missing"] = result.stand_ins_missing;
    return json;
}

void write_file(std::string const& path, std::string const& text)
{
    if (!path.empty())
    {
        std::ofstream stream(path);
        stream << text;
    }
}

int run(options const& given)
{
    absl::StatusOr<load_profile> const profile = profile_of(given);
    absl::StatusOr<load_run_settings> const settings = settings_of(given);
    for (absl::Status const& status : {profile.status(), settings.status()})
    {
        if (!status.ok())
        {
            fmt::print(stderr, "{}\n", std::string(status.message()));
            return exit_usage;
        }
    }
    load_run_result const result =
        bilberrylead::load::run_load(*profile, *settings);
    std::string const report = report_of(result, *profile).dump();
    write_file(given.json_file, report + "\n");
    write_file(given.svg_file, bilberrylead::load::draw_latency(
                                   result.tally.samples(), profile->length));
    fmt::print("{}\n", report);
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
        fmt::print(stderr, "bilberry-load: {}\n", error.what());
        return 1;
    }
}
