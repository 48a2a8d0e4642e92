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

/// Largest encoded record that is decoded, in bytes: a snapshot of the largest
/// size that replica_settings allows, plus its header.
inline constexpr std::size_t max_encoded_bytes = 257UL * 1024 * 1024;

/// Encodes a message between replicas as CBOR.
bytes encode_message(message const& value);

/// Decodes a message; safe for arbitrary input. Errors: syntax, missing_field
/// and bad_value.
absl::StatusOr<message> decode_message(std::span<std::uint8_t const> data);

/// Encodes a membership as CBOR: the payload of a membership entry.
bytes encode_membership(membership const& value);

/// Decodes a membership; errors as decode_message.
absl::StatusOr<membership>
decode_membership(std::span<std::uint8_t const> data);

/// Encodes a log entry as CBOR for the journal.
bytes encode_entry(log_entry const& value);

/// Decodes a log entry; errors as decode_message.
absl::StatusOr<log_entry> decode_entry(std::span<std::uint8_t const> data);

/// Encodes term, vote and commit index as CBOR for the journal.
bytes encode_hard_state(hard_state const& value);

/// Decodes term, vote and commit index; errors as decode_message.
absl::StatusOr<hard_state>
decode_hard_state(std::span<std::uint8_t const> data);

/// Encodes a snapshot as CBOR for the data folder.
bytes encode_snapshot(snapshot const& value);

/// Decodes a snapshot; errors as decode_message.
absl::StatusOr<snapshot> decode_snapshot(std::span<std::uint8_t const> data);

} // namespace bilberrylead::agreement

#endif
