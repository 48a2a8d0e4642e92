#ifndef BILBERRYLEAD_CTL_REPORT_HPP
#define BILBERRYLEAD_CTL_REPORT_HPP

#include "bilberrylead/ctl/command_line.hpp"
#include "bilberrylead/ctl/operator_client.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bilberrylead::ctl
{

/// Writes an error to standard error and gives the exit code that fits it.
exit_code report(absl::Status const& error);

/// Reports an answer that is not a success: the host's own message.
exit_code report_refusal(operator_answer const& answer);

/// The answer's body as JSON; kind `syntax` if it is none.
absl::StatusOr<nlohmann::json> body_of(operator_answer const& answer);

/// Writes rows of text in aligned columns to standard output.
void print_table(std::vector<std::vector<std::string>> const& rows);

/// Writes JSON to standard output.
void print_json(nlohmann::json const& value);

} // namespace bilberrylead::ctl

#endif
