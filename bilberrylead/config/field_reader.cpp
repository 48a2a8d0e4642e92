#include "bilberrylead/config/field_reader.hpp"

#include "bilberrylead/config/error_list.hpp"
#include "bilberrylead/config/nearest_name.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>

namespace bilberrylead::config
{

namespace
{

/// 32 letters of base 64 are 192 bits: nobody guesses them.
constexpr std::size_t shortest_key = 32;
constexpr std::size_t longest_key = 256;

std::string unknown_field_remedy(std::string_view written,
                                 std::vector<std::string> const& known)
{
    std::string const nearest = nearest_name(written, known);
    if (!nearest.empty())
    {
        return fmt::format("Did you mean \"{}\"?", nearest);
    }
    return fmt::format("Take it away; known are: {}.", fmt::join(known, ", "));
}

std::string_view type_of(nlohmann::json const& value)
{
    if (value.is_number_float())
    {
        return "a fraction";
    }
    if (value.is_number_integer() && !value.is_number_unsigned())
    {
        return "a negative number";
    }
    return value.type_name();
}

/// A whole number, also one that its writer gave a point: 2.0 means 2.
std::optional<std::uint64_t> whole_number(nlohmann::json const& value)
{
    if (value.is_number_unsigned())
    {
        return value.get<std::uint64_t>();
    }
    /// Whole numbers up to here have a floating-point value of their own.
    constexpr double most_exact = 9007199254740992.0;
    double const number = value.is_number_float() ? value.get<double>() : -1;
    bool const is_whole =
        number >= 0 && number <= most_exact && number == std::floor(number);
    return is_whole ? std::optional(static_cast<std::uint64_t>(number))
                    : std::nullopt;
}

} // namespace

field_reader::field_reader(nlohmann::json const& value, std::string path,
                           error_list& list)
    : object(value.is_object() ? &value : nullptr), path(std::move(path)),
      errors(&list)
{
    if (this->object == nullptr)
    {
        list.add(error_kind::bad_value, this->path,
                 fmt::format("This is {}, not an object.", type_of(value)),
                 "Write {...} with its fields.");
    }
}

std::string field_reader::path_of(std::string_view name) const
{
    return this->path.empty() ? std::string(name)
                              : fmt::format("{}.{}", this->path, name);
}

void field_reader::fail(std::string_view name, field_fault const& fault)
{
    this->errors->add(error_kind::bad_value, this->path_of(name), fault.what,
                      fault.remedy);
}

void field_reader::fail_type(std::string_view name, std::string_view expected)
{
    nlohmann::json const& value = this->object->at(std::string(name));
    this->fail(name, field_fault{fmt::format("This is {}.", type_of(value)),
                                 fmt::format("Write {}.", expected)});
}

nlohmann::json const* field_reader::find(std::string_view name)
{
    if (std::find(this->known.begin(), this->known.end(), name) ==
        this->known.end())
    {
        this->known.emplace_back(name);
    }
    if (this->object == nullptr)
    {
        return nullptr;
    }
    auto const found = this->object->find(std::string(name));
    return found == this->object->end() ? nullptr : &*found;
}

nlohmann::json const* field_reader::find_required(std::string_view name)
{
    nlohmann::json const* const value = this->find(name);
    if (value == nullptr && this->object != nullptr)
    {
        this->errors->add(error_kind::missing_field, this->path_of(name),
                          "The field is missing.", "Add it.");
    }
    return value;
}

void field_reader::required(std::string_view name, std::string& value)
{
    nlohmann::json const* const found = this->find_required(name);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_string() || found->get_ref<std::string const&>().empty())
    {
        this->fail_type(name, "a text that is not empty");
        return;
    }
    value = found->get<std::string>();
}

void field_reader::read_name(std::string_view name, std::string& value)
{
    nlohmann::json const* const found = this->find_required(name);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_string())
    {
        this->fail_type(name, "a name in quotes");
        return;
    }
    value = found->get<std::string>();
    std::optional<field_fault> const fault = name_fault(value);
    if (fault.has_value())
    {
        this->fail(name, *fault);
    }
}

std::vector<std::string> field_reader::read_names(std::string_view name)
{
    nlohmann::json const* const found = this->find(name);
    std::vector<std::string> names;
    if (found == nullptr)
    {
        return names;
    }
    bool const texts =
        found->is_array() && std::all_of(found->begin(), found->end(),
                                         [](nlohmann::json const& item)
                                         {
                                             return item.is_string();
                                         });
    if (!texts)
    {
        this->fail_type(name, "a list of names in quotes");
        return names;
    }
    for (nlohmann::json const& item : *found)
    {
        names.push_back(item.get<std::string>());
        std::optional<field_fault> const fault = name_fault(names.back());
        if (fault.has_value())
        {
            this->fail(name, *fault);
        }
    }
    return names;
}

void field_reader::required(std::string_view name, endpoint& value)
{
    nlohmann::json const* const found = this->find_required(name);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_string())
    {
        this->fail_type(name, "an address with a port in quotes");
        return;
    }
    std::string const& text = found->get_ref<std::string const&>();
    std::optional<endpoint> const parsed = parse_endpoint(text);
    if (!parsed.has_value())
    {
        this->fail(name, endpoint_text_fault(text));
        return;
    }
    value = *parsed;
}

void field_reader::optional(std::string_view name, endpoint& value)
{
    if (this->find(name) != nullptr)
    {
        this->required(name, value);
    }
}

void field_reader::optional(std::string_view name,
                            std::vector<endpoint>& values)
{
    nlohmann::json const* const found = this->find(name);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_array())
    {
        this->fail_type(name, "a list, [...]");
        return;
    }
    values.clear();
    for (nlohmann::json const& item : *found)
    {
        std::optional<endpoint> const parsed =
            item.is_string() ? parse_endpoint(item.get<std::string>())
                             : std::nullopt;
        if (!parsed.has_value())
        {
            this->fail(name, endpoint_text_fault(item.dump()));
            return;
        }
        values.push_back(*parsed);
    }
}

void field_reader::fraction(std::string_view name, double& value, double least,
                            double most)
{
    nlohmann::json const* const found = this->find(name);
    if (found == nullptr)
    {
        return;
    }
    double const number = found->is_number() ? found->get<double>() : 0;
    // Written so that a number that is none is refused as well.
    if (!found->is_number() || !(number >= least && number <= most))
    {
        this->fail_type(name,
                        fmt::format("a number from {} to {}", least, most));
        return;
    }
    value = number;
}

void field_reader::seconds(std::string_view name, duration& value,
                           duration most)
{
    using real_seconds = std::chrono::duration<double>;
    double count = real_seconds(value).count();
    this->fraction(name, count, 0, real_seconds(most).count());
    value = std::chrono::round<std::chrono::microseconds>(real_seconds(count));
}

void field_reader::optional(std::string_view name, std::string& value)
{
    nlohmann::json const* const found = this->find(name);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_string())
    {
        this->fail_type(name, "a text in quotes");
        return;
    }
    value = found->get<std::string>();
}

void field_reader::optional(std::string_view name, bool& value)
{
    nlohmann::json const* const found = this->find(name);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_boolean())
    {
        this->fail_type(name, "true or false");
        return;
    }
    value = found->get<bool>();
}

void field_reader::optional(std::string_view name, labels& value)
{
    nlohmann::json const* const found = this->find(name);
    if (found == nullptr)
    {
        return;
    }
    bool const texts =
        found->is_object() && std::all_of(found->begin(), found->end(),
                                          [](nlohmann::json const& item)
                                          {
                                              return item.is_string();
                                          });
    if (!texts)
    {
        this->fail_type(name, "an object whose values are texts");
        return;
    }
    value = found->get<labels>();
    std::optional<field_fault> const fault = labels_fault(value);
    if (fault.has_value())
    {
        this->fail(name, *fault);
    }
}

void field_reader::secrets(std::string_view name,
                           std::vector<std::string>& values)
{
    nlohmann::json const* const found = this->find(name);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_array())
    {
        this->fail_type(name, "a list of keys in quotes");
        return;
    }
    for (nlohmann::json const& item : *found)
    {
        std::string const place = fmt::format("{}[{}]", name, values.size());
        if (!item.is_string())
        {
            this->fail(place,
                       field_fault{fmt::format("This is {}.", type_of(item)),
                                   "Write a key in quotes."});
            return;
        }
        values.push_back(item.get<std::string>());
        std::optional<field_fault> const fault = secret_fault(values.back());
        if (fault.has_value())
        {
            this->fail(place, *fault);
        }
    }
}

void field_reader::secret(std::string_view name, std::string& value)
{
    nlohmann::json const* const found = this->find_required(name);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_string())
    {
        this->fail_type(name, "a key in quotes");
        return;
    }
    value = found->get<std::string>();
    if (value.size() < shortest_key || value.size() > longest_key)
    {
        this->fail(name, field_fault{fmt::format("The key has {} letters.",
                                                 value.size()),
                                     fmt::format("Use {} to {}, made at "
                                                 "random.",
                                                 shortest_key, longest_key)});
    }
}

std::size_t field_reader::read_choice(std::string_view name, std::size_t unset,
                                      std::span<std::string_view const> names)
{
    nlohmann::json const* const found = this->find(name);
    if (found == nullptr)
    {
        return unset;
    }
    for (std::size_t index = 0; index < names.size(); ++index)
    {
        if (*found == names[index])
        {
            return index;
        }
    }
    this->fail_type(name, fmt::format("\"{}\"", fmt::join(names, "\" or \"")));
    return unset;
}

std::uint64_t field_reader::read_number(std::string_view name,
                                        std::uint64_t unset,
                                        number_range const& range)
{
    nlohmann::json const* const found = this->find(name);
    if (found == nullptr)
    {
        return unset;
    }
    std::optional<std::uint64_t> const read = whole_number(*found);
    if (!read.has_value())
    {
        this->fail_type(name, fmt::format("a whole number from {} to {}",
                                          range.least, range.most));
        return unset;
    }
    std::uint64_t const value = *read;
    std::optional<field_fault> const fault = range_fault(value, range);
    if (fault.has_value())
    {
        this->fail(name, *fault);
        return unset;
    }
    return value;
}

std::size_t field_reader::list_size(std::string_view name)
{
    nlohmann::json const* const found = this->find(name);
    if (found == nullptr)
    {
        return 0;
    }
    if (!found->is_array())
    {
        this->fail_type(name, "a list, [...]");
        return 0;
    }
    return found->size();
}

field_reader field_reader::element(std::string_view name, std::size_t index)
{
    nlohmann::json const& list = this->object->at(std::string(name));
    std::string const place = this->path_of(name);
    return {list.at(index), fmt::format("{}[{}]", place, index), *this->errors};
}

field_reader field_reader::member(std::string_view name)
{
    return {this->object->at(std::string(name)), this->path_of(name),
            *this->errors};
}

void field_reader::finish()
{
    if (this->object == nullptr)
    {
        return;
    }
    for (auto field = this->object->begin(); field != this->object->end();
         ++field)
    {
        if (std::find(this->known.begin(), this->known.end(), field.key()) ==
            this->known.end())
        {
            this->errors->add(error_kind::unknown_field,
                              this->path_of(field.key()),
                              "This field is not known.",
                              unknown_field_remedy(field.key(), this->known));
        }
    }
}

} // namespace bilberrylead::config
