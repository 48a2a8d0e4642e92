#include "bilberrylead/config/check.hpp"
#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/control_settings.hpp"
#include "bilberrylead/config/entry_settings.hpp"
#include "bilberrylead/config/parse_configuration.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using bilberrylead::config::configuration;
using bilberrylead::config::control_settings;
using bilberrylead::config::entry_host;
using bilberrylead::config::entry_settings;
using bilberrylead::config::parse_configuration;
using bilberrylead::config::parse_control_settings;
using bilberrylead::config::parse_entry_settings;

namespace
{

std::string read_file(std::filesystem::path const& path)
{
    std::ifstream stream(path);
    cr_assert(stream.good(), "%s", path.c_str());
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// Example files of one user whose names start with a prefix.
std::vector<std::filesystem::path> files_of(std::string const& user,
                                            std::string const& prefix)
{
    std::vector<std::filesystem::path> found;
    for (std::filesystem::directory_entry const& each :
         std::filesystem::directory_iterator("examples/" + user))
    {
        if (each.path().filename().string().starts_with(prefix))
        {
            found.push_back(each.path());
        }
    }
    return found;
}

configuration configuration_of(std::string const& user)
{
    std::string const path = "examples/" + user + "/configuration.jsonc";
    absl::StatusOr<configuration> const value =
        parse_configuration(read_file(path), path);
    cr_assert(value.ok(), "%s", value.status().ToString().c_str());
    return *value;
}

std::vector<std::string> const users = {"letrasur", "maksuamet"};

} // namespace

Test(examples, configurations_when_checked_pass_without_warnings)
{
    for (std::string const& user : users)
    {
        configuration const value = configuration_of(user);
        absl::Status const status = bilberrylead::config::check(value);
        cr_assert(status.ok(), "%s", status.ToString().c_str());
        cr_assert(bilberrylead::config::warnings(value).empty());
    }
}

Test(examples, control_host_settings_when_parsed_pass)
{
    for (std::string const& user : users)
    {
        std::vector<std::filesystem::path> const files =
            files_of(user, "control-");
        cr_assert_eq(files.size(), 5U);
        for (std::filesystem::path const& file : files)
        {
            absl::StatusOr<control_settings> const value =
                parse_control_settings(read_file(file), file.string());
            cr_assert(value.ok(), "%s", value.status().ToString().c_str());
        }
    }
}

Test(examples, entry_host_settings_when_parsed_agree_with_configuration)
{
    for (std::string const& user : users)
    {
        configuration const whole = configuration_of(user);
        std::vector<std::filesystem::path> const files =
            files_of(user, "entry-");
        cr_assert_eq(files.size(), whole.entry_hosts.size());
        for (std::filesystem::path const& file : files)
        {
            absl::StatusOr<entry_settings> const value =
                parse_entry_settings(read_file(file), file.string());
            cr_assert(value.ok(), "%s", value.status().ToString().c_str());
            auto const host =
                std::find_if(whole.entry_hosts.begin(), whole.entry_hosts.end(),
                             [&value](entry_host const& each)
                             {
                                 return each.id == value->id;
                             });
            cr_assert(host != whole.entry_hosts.end());
            cr_assert(host->address == value->caller_listen);
            cr_assert(host->peer_address == value->peer_listen);
            cr_assert(host->zone == value->zone);
        }
    }
}
