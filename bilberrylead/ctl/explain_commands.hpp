#ifndef BILBERRYLEAD_CTL_EXPLAIN_COMMANDS_HPP
#define BILBERRYLEAD_CTL_EXPLAIN_COMMANDS_HPP

#include "bilberrylead/ctl/command_line.hpp"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <vector>

namespace bilberrylead::config
{
struct configuration;
struct configuration_change;
} // namespace bilberrylead::config

namespace bilberrylead::ctl
{

/// Which upstreams a caller reaches, and why.
struct caller_explanation
{
    /// The smallest block that holds the caller; empty if none does.
    std::string block;
    /// The zone nearest to the caller; empty without a block.
    std::string zone;
    /// The upstreams it reaches, leaving ones too.
    std::vector<std::string> upstreams;
    /// Why, in whole sentences, a line each.
    std::string reasons;
};

/// Works out what a caller reaches. Kind `bad_value` if the address is none,
/// `unknown_name` if no service has the name, and what `config::check` says
/// if the configuration is not valid.
absl::StatusOr<caller_explanation>
explain_caller(std::shared_ptr<config::configuration const> const& accepted,
               std::string const& service, std::string const& caller);

/// The changes as --output json shows them.
nlohmann::json
changes_json(std::vector<config::configuration_change> const& changes);

/// Shows what a file would change in the accepted configuration.
exit_code run_diff(command_line const& line);

/// Shows which upstreams of a service a caller reaches, and why.
exit_code run_explain(command_line const& line);

} // namespace bilberrylead::ctl

#endif
