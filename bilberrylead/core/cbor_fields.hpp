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

/// Reads the fields of a record, a flat CBOR array, in order. A missing field
/// or a field of the wrong type reads as zero, false or empty and makes the
/// record invalid. Check complete() after the last field and before any value
/// is used.
class cbor_fields
{
public:
    /// Parses one record. Fails with kind `syntax` if `record` is not exactly
    /// one CBOR array.
    static absl::StatusOr<cbor_fields>
    parse(std::span<std::uint8_t const> record);

    /// Parses the record at the start of `input` and advances `input` past it.
    /// `input` stays as it is if its first CBOR item has no valid length.
    static absl::StatusOr<cbor_fields>
    take(std::span<std::uint8_t const>& input);

    cbor_fields(cbor_fields&&) noexcept;
    cbor_fields& operator=(cbor_fields&&) noexcept;
    cbor_fields(cbor_fields const&) = delete;
    cbor_fields& operator=(cbor_fields const&) = delete;
    ~cbor_fields();

    /// The next field, an unsigned 64-bit integer.
    std::uint64_t take_unsigned();
    /// The next field, an integer from 0 to 65535.
    std::uint16_t take_unsigned_16();
    /// The next field, an integer from 0 to 4294967295.
    std::uint32_t take_unsigned_32();
    /// The next field, a signed 64-bit integer.
    std::int64_t take_signed();
    /// The next field, true or false.
    bool take_bool();
    /// The next field, a text string of at most `max_length` bytes.
    std::string take_text(std::size_t max_length);
    /// The next field, a byte string.
    bytes take_bytes();

    /// False once a field was missing, of the wrong type or out of range. For
    /// loops over a list whose length is a field of the record.
    bool intact() const
    {
        return !this->malformed;
    }

    /// True if every field of the record was read and all were valid.
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
