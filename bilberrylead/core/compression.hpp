#ifndef BILBERRYLEAD_CORE_COMPRESSION_HPP
#define BILBERRYLEAD_CORE_COMPRESSION_HPP

#include "bilberrylead/core/bytes.hpp"

#include <absl/status/statusor.h>

#include <cstddef>

namespace bilberrylead
{

/// Compresses `content` into a Zstandard frame whose header holds the content
/// size. Long documents repeat their field names and hosts in every entry and
/// shrink to a tenth or less.
bytes compress(bytes const& content);

/// True if `content` starts with the Zstandard magic number. No CBOR array,
/// CBOR map or JSON text starts with these bytes.
bool is_compressed(bytes const& content);

/// Decompresses a Zstandard frame. The input may be untrusted: fails with kind
/// `bad_value` if it is not a complete frame, or if the declared content size
/// exceeds `max_size` bytes. Nothing is allocated for content above the limit.
absl::StatusOr<bytes> decompress(bytes const& compressed, std::size_t max_size);

} // namespace bilberrylead

#endif
