#ifndef BILBERRYLEAD_CTL_ACCEPTED_CONFIGURATION_HPP
#define BILBERRYLEAD_CTL_ACCEPTED_CONFIGURATION_HPP

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace bilberrylead::ctl
{

class operator_client;

/// What is accepted now.
struct accepted_configuration
{
    /// Its revision, 0 if there is none yet.
    std::uint64_t number = 0;
    /// Its document as its author wrote it; empty if there is none yet.
    std::string document;
};

/// Asks the control hosts for it. Kind `no_quorum` if they can't tell now.
absl::StatusOr<accepted_configuration> fetch_accepted(operator_client& client);

} // namespace bilberrylead::ctl

#endif
