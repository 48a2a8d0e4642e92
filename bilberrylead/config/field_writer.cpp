#include "bilberrylead/config/field_writer.hpp"

#include <nlohmann/json.hpp>

namespace bilberrylead::config
{

field_writer::field_writer(nlohmann::ordered_json& value) : object(&value)
{
    value = nlohmann::ordered_json::object();
}

void field_writer::required(std::string_view name, std::string const& value)
{
    (*this->object)[std::string(name)] = value;
}

void field_writer::required(std::string_view name, endpoint const& value)
{
    (*this->object)[std::string(name)] = to_string(value);
}

void field_writer::optional(std::string_view name, bool value)
{
    (*this->object)[std::string(name)] = value;
}

void field_writer::optional(std::string_view name, labels const& value)
{
    nlohmann::ordered_json pairs = nlohmann::ordered_json::object();
    for (labels::value_type const& label : value)
    {
        pairs[label.first] = label.second;
    }
    (*this->object)[std::string(name)] = std::move(pairs);
}

void field_writer::write_text(std::string_view name, std::string_view value)
{
    (*this->object)[std::string(name)] = value;
}

void field_writer::write_number(std::string_view name, std::uint64_t value)
{
    (*this->object)[std::string(name)] = value;
}

void field_writer::write_names(std::string_view name,
                               std::vector<std::string> const& values)
{
    (*this->object)[std::string(name)] = values;
}

void field_writer::start_list(std::string_view name)
{
    (*this->object)[std::string(name)] = nlohmann::ordered_json::array();
}

nlohmann::ordered_json& field_writer::add_element(std::string_view name)
{
    nlohmann::ordered_json& list = (*this->object)[std::string(name)];
    list.push_back(nlohmann::ordered_json::object());
    return list.back();
}

nlohmann::ordered_json& field_writer::add_member(std::string_view name)
{
    return (*this->object)[std::string(name)];
}

} // namespace bilberrylead::config
