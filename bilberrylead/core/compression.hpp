#ifndef BILBERRYLEAD_CORE_COMPRESSION_HPP
#define BILBERRYLEAD_CORE_COMPRESSION_HPP

#include "bilberrylead/core/bytes.hpp"

#include <absl/status/statusor.h>

#include <cstddef>

namespace bilberrylead
{

/// The content as a Zstandard frame that tells its length. Long documents
/// repeat their field names and hosts in every entry and become a tenth or
/// less.
bytes compress(bytes const& content);

/// True if the bytes begin as a frame does. No CBOR array, map or JSON text
/// begins so.
bool is_compressed(bytes const& content);

/// The content of a frame. Any bytes may come in: kind `bad_value` if they
/// are no whole frame, or one whose content would be longer than `longest`
/// bytes; nothing is allocated for it then.
absl::StatusOr<bytes> decompress(bytes const& compressed, std::size_t max_size);

} // namespace bilberrylead

#endif
