#ifndef BILBERRYLEAD_AGREEMENT_CODEC_HPP
#define BILBERRYLEAD_AGREEMENT_CODEC_HPP

#include "bilberrylead/agreement/hard_state.hpp"
#include "bilberrylead/agreement/log_entry.hpp"
#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/agreement/snapshot.hpp"
#include "bilberrylead/core/bytes.hpp"

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <span>

namespace bilberrylead::agreement
{

/// Largest encoded record that is decoded at all: a snapshot of the largest
/// size that replica_settings lets in, with its header.
inline constexpr std::size_t max_encoded_bytes = 257UL * 1024 * 1024;

/// CBOR of a message between replicas.
bytes encode_message(message const& value);

/// Reads a message; any bytes are safe to pass. Gives errors of the kinds
/// syntax, missing_field and bad_value.
absl::StatusOr<message> decode_message(std::span<std::uint8_t const> data);

/// CBOR of a membership, the payload of a membership entry.
bytes encode_membership(membership const& value);

/// Reads a membership; errors as decode_message.
absl::StatusOr<membership>
decode_membership(std::span<std::uint8_t const> data);

/// CBOR of a log entry, for the journal.
bytes encode_entry(log_entry const& value);

/// Reads a log entry; errors as decode_message.
absl::StatusOr<log_entry> decode_entry(std::span<std::uint8_t const> data);

/// CBOR of term and vote, for the journal.
bytes encode_hard_state(hard_state const& value);

/// Reads term and vote; errors as decode_message.
absl::StatusOr<hard_state>
decode_hard_state(std::span<std::uint8_t const> data);

/// CBOR of a snapshot, for the data folder.
bytes encode_snapshot(snapshot const& value);

/// Reads a snapshot; errors as decode_message.
absl::StatusOr<snapshot> decode_snapshot(std::span<std::uint8_t const> data);

} // namespace bilberrylead::agreement

#endif
