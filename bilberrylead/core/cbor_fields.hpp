#ifndef BILBERRYLEAD_CORE_CBOR_FIELDS_HPP
#define BILBERRYLEAD_CORE_CBOR_FIELDS_HPP

#include "bilberrylead/core/bytes.hpp"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace bilberrylead
{

/// Reads the fields of a record, a flat CBOR array, one after the other.
/// A field of the wrong type reads as empty and spoils the whole record:
/// ask complete() once, at the end, before any of it is used.
class cbor_fields
{
public:
    /// Parses one record. Fails if it isn't one CBOR array.
    static absl::StatusOr<cbor_fields>
    parse(std::span<std::uint8_t const> record);

    /// Takes the record that `input` starts with and moves `input` past it.
    static absl::StatusOr<cbor_fields>
    take(std::span<std::uint8_t const>& input);

    cbor_fields(cbor_fields&&) noexcept;
    cbor_fields& operator=(cbor_fields&&) noexcept;
    cbor_fields(cbor_fields const&) = delete;
    cbor_fields& operator=(cbor_fields const&) = delete;
    ~cbor_fields();

    /// The next field, a number from 0.
    std::uint64_t take_unsigned();
    /// The next field, a number from 0 to 65535.
    std::uint16_t take_unsigned_16();
    /// The next field, a number from 0 to 4294967295.
    std::uint32_t take_unsigned_32();
    /// The next field, a number.
    std::int64_t take_signed();
    /// The next field, true or false.
    bool take_bool();
    /// The next field, a text of at most `longest` bytes.
    std::string take_text(std::size_t max_length);
    /// The next field, a byte string.
    bytes take_bytes();

    /// False once a field was missing or of the wrong type. For lists whose
    /// length stands in the record itself.
    bool intact() const
    {
        return !this->malformed;
    }

    /// True if every field was taken and each had its type.
    bool complete() const;

private:
    explicit cbor_fields(nlohmann::json&& array);
    nlohmann::json* next();

    std::unique_ptr<nlohmann::json> array;
    std::size_t read_count = 0;
    bool malformed = false;
};

} // namespace bilberrylead

#endif
