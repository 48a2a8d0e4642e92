#include "bilberrylead/core/cbor_reader.hpp"

#include <utility>

namespace bilberrylead
{

cbor_reader::cbor_reader(bytes const& encoded)
    : cbor_reader(nlohmann::json::from_cbor(encoded, true, false))
{
}

cbor_reader::cbor_reader(nlohmann::json map) : value(std::move(map))
{
    if (!this->value.is_object())
    {
        this->fail("(the whole message)");
    }
}

std::uint64_t cbor_reader::number(char const* field, std::uint64_t largest)
{
    nlohmann::json const* const found = this->find(field);
    if (found == nullptr || !found->is_number_unsigned())
    {
        this->fail(field);
        return 0;
    }
    std::uint64_t const result = found->get<std::uint64_t>();
    if (result > largest)
    {
        this->fail(field);
        return 0;
    }
    return result;
}

bool cbor_reader::truth(char const* field)
{
    nlohmann::json const* const found = this->find(field);
    if (found == nullptr || !found->is_boolean())
    {
        this->fail(field);
        return false;
    }
    return found->get<bool>();
}

std::string cbor_reader::text(char const* field, std::size_t longest)
{
    nlohmann::json const* const found = this->find(field);
    if (found == nullptr || !found->is_string())
    {
        this->fail(field);
        return {};
    }
    std::string const& result = found->get_ref<std::string const&>();
    if (result.size() > longest)
    {
        this->fail(field);
        return {};
    }
    return result;
}

bytes cbor_reader::byte_string(char const* field, std::size_t longest)
{
    nlohmann::json const* const found = this->find(field);
    if (found == nullptr || !found->is_binary())
    {
        this->fail(field);
        return {};
    }
    bytes const& result = found->get_binary();
    if (result.size() > longest)
    {
        this->fail(field);
        return {};
    }
    return result;
}

cbor_reader cbor_reader::map(char const* field)
{
    nlohmann::json const* const found = this->find(field);
    if (found == nullptr || !found->is_object())
    {
        this->fail(field);
        return cbor_reader(nlohmann::json::object());
    }
    return cbor_reader(*found);
}

bool cbor_reader::good() const
{
    return this->is_good;
}

std::string const& cbor_reader::bad_field() const
{
    return this->failed_field;
}

nlohmann::json const* cbor_reader::find(char const* field)
{
    if (!this->is_good)
    {
        return nullptr;
    }
    nlohmann::json::const_iterator const found = this->value.find(field);
    return found == this->value.end() ? nullptr : &*found;
}

void cbor_reader::fail(char const* field)
{
    if (this->is_good)
    {
        this->is_good = false;
        this->failed_field = field;
    }
}

bytes to_cbor_bytes(nlohmann::json const& map)
{
    return nlohmann::json::to_cbor(map);
}

nlohmann::json cbor_bytes(bytes const& content)
{
    return nlohmann::json::binary(content);
}

} // namespace bilberrylead
