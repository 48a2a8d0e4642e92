#include "bilberrylead/agreement/record_reader.hpp"

#include "bilberrylead/core/error.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bilberrylead::agreement
{

namespace
{

constexpr std::string_view same_version =
    "Check that both ends run the same version.";

} // namespace

record_reader::record_reader(nlohmann::json const& record)
    : source(record), first_error(own_error)
{
    this->check_object();
}

record_reader::record_reader(nlohmann::json const& record,
                             record_reader const& outer)
    : source(record), first_error(outer.first_error)
{
    this->check_object();
}

absl::Status const& record_reader::status() const
{
    return this->first_error;
}

void record_reader::check_object()
{
    if (!this->source.is_object())
    {
        this->fail(error_kind::bad_value, "The record is not a map.");
    }
}

nlohmann::json const* record_reader::field(char const* name)
{
    if (!this->first_error.ok())
    {
        return nullptr;
    }
    auto const found = this->source.find(name);
    if (found == this->source.end())
    {
        this->fail(error_kind::missing_field,
                   fmt::format("The field {} is missing.", name));
        return nullptr;
    }
    return &*found;
}

std::uint64_t record_reader::number(char const* name)
{
    nlohmann::json const* const value = this->field(name);
    if (value == nullptr)
    {
        return 0;
    }
    if (!value->is_number_unsigned())
    {
        this->fail_type(name, "an unsigned integer");
        return 0;
    }
    return value->get<std::uint64_t>();
}

std::uint64_t record_reader::number_or(char const* name, std::uint64_t fallback)
{
    return this->optional_number(name).value_or(fallback);
}

std::optional<std::uint64_t> record_reader::optional_number(char const* name)
{
    return this->source.contains(name) ? std::optional(this->number(name))
                                       : std::nullopt;
}

bool record_reader::flag(char const* name)
{
    nlohmann::json const* const value = this->field(name);
    if (value == nullptr)
    {
        return false;
    }
    if (!value->is_boolean())
    {
        this->fail_type(name, "a boolean");
        return false;
    }
    return value->get<bool>();
}

std::string record_reader::text(char const* name)
{
    nlohmann::json const* const value = this->field(name);
    if (value == nullptr)
    {
        return {};
    }
    if (!value->is_string())
    {
        this->fail_type(name, "a string");
        return {};
    }
    return value->get<std::string>();
}

bytes record_reader::binary(char const* name)
{
    nlohmann::json const* const value = this->field(name);
    if (value == nullptr)
    {
        return {};
    }
    if (!value->is_binary())
    {
        this->fail_type(name, "a byte string");
        return {};
    }
    return value->get_binary();
}

nlohmann::json const& record_reader::record(char const* name)
{
    nlohmann::json const* const value = this->field(name);
    return value == nullptr ? this->source : *value;
}

nlohmann::json const& record_reader::list(char const* name)
{
    static nlohmann::json const empty = nlohmann::json::array();
    nlohmann::json const* const value = this->field(name);
    if (value == nullptr)
    {
        return empty;
    }
    if (!value->is_array())
    {
        this->fail_type(name, "an array");
        return empty;
    }
    return *value;
}

void record_reader::fail(error_kind kind, std::string_view message)
{
    if (this->first_error.ok())
    {
        this->first_error = make_error(kind, message, same_version);
    }
}

void record_reader::fail_type(char const* name, char const* expected)
{
    this->fail(error_kind::bad_value,
               fmt::format("The field {} must be {}.", name, expected));
}

} // namespace bilberrylead::agreement
