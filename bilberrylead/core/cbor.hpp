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

/// Length in bytes of the CBOR item at the start of `input`. Fails with kind
/// `syntax` on input that this system never writes: indefinite lengths, tags,
/// more than 16 levels of nesting, and items that extend past the end.
///
/// The library's parser recurses for each level of nesting and allocates by
/// the length that the input declares, so a few kilobytes from an untrusted
/// peer can exhaust the stack or the memory. This function neither recurses
/// nor allocates, and checks the input before it reaches the parser.
absl::StatusOr<std::size_t>
cbor_item_length(std::span<std::uint8_t const> input);

/// Parses `input`, which must be exactly one CBOR item within the limits of
/// cbor_item_length. Fails with kind `syntax`; never throws.
absl::StatusOr<nlohmann::json> parse_cbor(std::span<std::uint8_t const> input);

/// Appends `item` as CBOR to `output`. Repeated calls write a CBOR sequence.
void append_cbor(nlohmann::json const& item, bytes& output);

} // namespace bilberrylead

#endif
