#include "bilberrylead/core/cbor_fields.hpp"

#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/error.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace bilberrylead
{

absl::StatusOr<cbor_fields>
cbor_fields::parse(std::span<std::uint8_t const> record)
{
    absl::StatusOr<nlohmann::json> parsed = parse_cbor(record);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    if (!parsed->is_array())
    {
        return make_error(error_kind::syntax, "The record is not a CBOR array.",
                          "Check that both sides run compatible versions.");
    }
    return cbor_fields(*std::move(parsed));
}

absl::StatusOr<cbor_fields>
cbor_fields::take(std::span<std::uint8_t const>& input)
{
    absl::StatusOr<std::size_t> const length = cbor_item_length(input);
    if (!length.ok())
    {
        return length.status();
    }
    std::span<std::uint8_t const> const record = input.first(*length);
    input = input.subspan(*length);
    return parse(record);
}

cbor_fields::cbor_fields(nlohmann::json&& array)
    : array(std::make_unique<nlohmann::json>(std::move(array)))
{
}

cbor_fields::cbor_fields(cbor_fields&&) noexcept = default;
cbor_fields& cbor_fields::operator=(cbor_fields&&) noexcept = default;
cbor_fields::~cbor_fields() = default;

nlohmann::json* cbor_fields::next()
{
    if (this->read_count >= this->array->size())
    {
        this->malformed = true;
        return nullptr;
    }
    return &(*this->array)[this->read_count++];
}

std::uint64_t cbor_fields::take_unsigned()
{
    nlohmann::json* const field = this->next();
    if (field == nullptr || !field->is_number_unsigned())
    {
        this->malformed = true;
        return 0;
    }
    return field->get<std::uint64_t>();
}

std::uint16_t cbor_fields::take_unsigned_16()
{
    std::uint64_t const number = this->take_unsigned();
    if (number > std::numeric_limits<std::uint16_t>::max())
    {
        this->malformed = true;
        return 0;
    }
    return static_cast<std::uint16_t>(number);
}

std::uint32_t cbor_fields::take_unsigned_32()
{
    std::uint64_t const number = this->take_unsigned();
    if (number > std::numeric_limits<std::uint32_t>::max())
    {
        this->malformed = true;
        return 0;
    }
    return static_cast<std::uint32_t>(number);
}

std::int64_t cbor_fields::take_signed()
{
    nlohmann::json* const field = this->next();
    if (field == nullptr || !field->is_number_integer())
    {
        this->malformed = true;
        return 0;
    }
    return field->get<std::int64_t>();
}

bool cbor_fields::take_bool()
{
    nlohmann::json* const field = this->next();
    if (field == nullptr || !field->is_boolean())
    {
        this->malformed = true;
        return false;
    }
    return field->get<bool>();
}

std::string cbor_fields::take_text(std::size_t max_length)
{
    nlohmann::json* const field = this->next();
    if (field == nullptr || !field->is_string())
    {
        this->malformed = true;
        return {};
    }
    std::string& text = field->get_ref<std::string&>();
    if (text.size() > max_length)
    {
        this->malformed = true;
        return {};
    }
    return std::move(text);
}

bytes cbor_fields::take_bytes()
{
    nlohmann::json* const field = this->next();
    if (field == nullptr || !field->is_binary())
    {
        this->malformed = true;
        return {};
    }
    bytes& content = field->get_binary();
    return std::move(content);
}

bool cbor_fields::complete() const
{
    return !this->malformed && this->read_count == this->array->size();
}

} // namespace bilberrylead
