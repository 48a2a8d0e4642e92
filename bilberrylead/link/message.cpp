#include "bilberrylead/link/message.hpp"

#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/compression.hpp"
#include "bilberrylead/link/message_reader.hpp"
#include "bilberrylead/link/message_writer.hpp"

#include <cstddef>
#include <variant>

namespace bilberrylead::link
{

namespace
{

/// A document or listing of this many bytes or more is packed: shorter ones
/// fit a packet or two.
constexpr std::size_t least_packed = 1024;
/// Longest message that is unpacked, bytes; as long as a link takes.
constexpr std::size_t longest_message = std::size_t{256} << 20U;

/// True for content that consists of texts or of many similar names.
bool is_packable(message const& content)
{
    if (entry_presence const* const presence =
            std::get_if<entry_presence>(&content))
    {
        return presence->admission.has_value();
    }
    if (region_plan const* const plan = std::get_if<region_plan>(&content))
    {
        return plan->admission.has_value();
    }
    return std::holds_alternative<configuration_update>(content) ||
           std::holds_alternative<upstream_update>(content);
}

absl::StatusOr<message> decode_plain(bytes const& encoded)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::parse(encoded);
    if (!fields.ok())
    {
        return fields.status();
    }
    return read_message(*fields);
}

} // namespace

bytes encode(message const& content)
{
    bytes output;
    append_cbor(write_message(content), output);
    if (is_packable(content) && output.size() >= least_packed)
    {
        return compress(output);
    }
    return output;
}

absl::StatusOr<message> decode(bytes const& encoded)
{
    if (is_compressed(encoded))
    {
        absl::StatusOr<bytes> const content =
            decompress(encoded, longest_message);
        return content.ok() ? decode_plain(*content) : content.status();
    }
    return decode_plain(encoded);
}

} // namespace bilberrylead::link
