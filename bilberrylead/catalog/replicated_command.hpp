#ifndef BILBERRYLEAD_CATALOG_REPLICATED_COMMAND_HPP
#define BILBERRYLEAD_CATALOG_REPLICATED_COMMAND_HPP

#include "bilberrylead/catalog/change_command.hpp"
#include "bilberrylead/catalog/order_command.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/once/once_command.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <variant>

namespace bilberrylead::catalog
{

/// Everything that goes through the replicated log.
using replicated_command =
    std::variant<change_command, once::claim, once::complete, once::release,
                 once::mark_unknown, once::register_entry_host,
                 once::advance_time, put_configuration, close_zone>;

/// The command as a record of the log, in CBOR.
bytes encode_command(replicated_command const& command);

/// Reads a record of the log. Any bytes may come in: what isn't a command
/// is an error of kind syntax or bad_value, never an exception.
absl::StatusOr<replicated_command>
decode_command(std::span<std::uint8_t const> record);

} // namespace bilberrylead::catalog

#endif
