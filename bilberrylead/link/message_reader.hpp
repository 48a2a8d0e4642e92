#ifndef BILBERRYLEAD_LINK_MESSAGE_READER_HPP
#define BILBERRYLEAD_LINK_MESSAGE_READER_HPP

#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/link/message.hpp"

#include <absl/status/statusor.h>

namespace bilberrylead::link
{

/// Reads a message from its fields, the first of which is its tag. Errors
/// are of kind syntax or bad_value.
absl::StatusOr<message> read_message(cbor_fields& fields);

} // namespace bilberrylead::link

#endif
