#include "bilberrylead/config/field_checker.hpp"

namespace bilberrylead::config
{

std::string field_checker::path_of(std::string_view name) const
{
    return this->path.empty() ? std::string(name)
                              : fmt::format("{}.{}", this->path, name);
}

void field_checker::report(std::string_view name,
                           std::optional<field_fault> const& fault)
{
    if (fault.has_value())
    {
        this->errors->add(error_kind::bad_value, this->path_of(name),
                          fault->what, fault->remedy);
    }
}

void field_checker::required(std::string_view name, std::string const& value)
{
    if (value.empty())
    {
        this->report(name, field_fault{"The text is empty.", "Write one."});
    }
}

void field_checker::required(std::string_view name, endpoint const& value)
{
    this->report(name, endpoint_fault(value));
}

void field_checker::secrets(std::string_view name,
                            std::vector<std::string> const& values)
{
    for (std::size_t index = 0; index < values.size(); ++index)
    {
        this->report(fmt::format("{}[{}]", name, index),
                     secret_fault(values[index]));
    }
}

void field_checker::optional(std::string_view name, labels const& value)
{
    this->report(name, labels_fault(value));
}

} // namespace bilberrylead::config
