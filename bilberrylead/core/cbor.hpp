#ifndef BILBERRYLEAD_CORE_CBOR_HPP
#define BILBERRYLEAD_CORE_CBOR_HPP

#include "bilberrylead/core/bytes.hpp"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

namespace bilberrylead
{

/// Length in bytes of the CBOR item that `input` starts with. Refuses what
/// the system never writes: indefinite lengths, tags, more than 16 levels
/// of nesting, and items that reach past the end.
///
/// The library's parser calls itself for every level of nesting and sets
/// memory aside by the length that the input claims: a few kilobytes from a
/// stranger can exhaust stack or memory. Input is measured here first, with
/// neither.
absl::StatusOr<std::size_t>
cbor_item_length(std::span<std::uint8_t const> input);

/// Parses exactly one CBOR item; never throws.
absl::StatusOr<nlohmann::json> parse_cbor(std::span<std::uint8_t const> input);

/// Appends `item` as CBOR to `output`, where a sequence of items may stand.
void append_cbor(nlohmann::json const& item, bytes& output);

} // namespace bilberrylead

#endif
