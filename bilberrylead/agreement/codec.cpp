#include "bilberrylead/agreement/codec.hpp"

#include "bilberrylead/agreement/record_json.hpp"
#include "bilberrylead/core/error.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <exception>
#include <string>
#include <utility>

namespace bilberrylead::agreement
{

namespace
{

using nlohmann::json;

/// Maximum nesting depth, checked before any value is built: the JSON library
/// parses recursively, and a message of nothing but opening arrays would
/// overflow the stack.
constexpr std::size_t max_depth = 8;

/// SAX handler that builds nothing and stops at the first element that is
/// malformed or nested too deeply.
class depth_check
{
public:
    using number_integer_t = json::number_integer_t;
    using number_unsigned_t = json::number_unsigned_t;
    using number_float_t = json::number_float_t;
    using string_t = json::string_t;
    using binary_t = json::binary_t;

    bool null()
    {
        return true;
    }
    bool boolean(bool)
    {
        return true;
    }
    bool number_integer(number_integer_t)
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t)
    {
        return true;
    }
    bool number_float(number_float_t, string_t const&)
    {
        return true;
    }
    bool string(string_t const&)
    {
        return true;
    }
    bool binary(binary_t const&)
    {
        return true;
    }
    bool key(string_t const&)
    {
        return true;
    }
    bool start_object(std::size_t)
    {
        return this->open();
    }
    bool end_object()
    {
        return this->close();
    }
    bool start_array(std::size_t)
    {
        return this->open();
    }
    bool end_array()
    {
        return this->close();
    }
    bool parse_error(std::size_t, std::string const&, json::exception const&)
    {
        return false;
    }

private:
    bool open()
    {
        ++this->depth;
        return this->depth <= max_depth;
    }
    bool close()
    {
        --this->depth;
        return true;
    }

    std::size_t depth = 0;
};

absl::StatusOr<json> read_cbor(std::span<std::uint8_t const> data)
{
    if (data.size() > max_encoded_bytes)
    {
        return make_error(error_kind::bad_value,
                          fmt::format("The record has {} bytes, more than the "
                                      "maximum of {}.",
                                      data.size(), max_encoded_bytes),
                          "Check which peer or file it came from.");
    }
    absl::Status malformed =
        make_error(error_kind::syntax,
                   "The record is not valid CBOR or is nested too deeply.",
                   "Check that both ends run the same version.");

    // A declared length beyond available memory throws even with
    // allow_exceptions set to false.
    try
    {
        depth_check check;
        if (!json::sax_parse(data.begin(), data.end(), &check,
                             json::input_format_t::cbor))
        {
            return malformed;
        }
        json value = json::from_cbor(data.begin(), data.end(), true, false);
        if (value.is_discarded())
        {
            return malformed;
        }
        return value;
    }
    catch (std::exception const&)
    {
        return malformed;
    }
}

bytes write_cbor(json const& value)
{
    return json::to_cbor(value);
}

template <class Record>
absl::StatusOr<Record> decode(std::span<std::uint8_t const> data)
{
    absl::StatusOr<json> const value = read_cbor(data);
    if (!value.ok())
    {
        return value.status();
    }
    record_reader reader(*value);
    Record record = read_record<Record>(reader);
    if (!reader.status().ok())
    {
        return reader.status();
    }
    return record;
}

} // namespace

bytes encode_message(message const& value)
{
    return write_cbor(write_record(value));
}

absl::StatusOr<message> decode_message(std::span<std::uint8_t const> data)
{
    return decode<message>(data);
}

bytes encode_membership(membership const& value)
{
    return write_cbor(write_record(value));
}

absl::StatusOr<membership> decode_membership(std::span<std::uint8_t const> data)
{
    return decode<membership>(data);
}

bytes encode_entry(log_entry const& value)
{
    return write_cbor(write_record(value));
}

absl::StatusOr<log_entry> decode_entry(std::span<std::uint8_t const> data)
{
    return decode<log_entry>(data);
}

bytes encode_hard_state(hard_state const& value)
{
    return write_cbor(write_record(value));
}

absl::StatusOr<hard_state> decode_hard_state(std::span<std::uint8_t const> data)
{
    return decode<hard_state>(data);
}

bytes encode_snapshot(snapshot const& value)
{
    return write_cbor(write_record(value));
}

absl::StatusOr<snapshot> decode_snapshot(std::span<std::uint8_t const> data)
{
    return decode<snapshot>(data);
}

} // namespace bilberrylead::agreement
