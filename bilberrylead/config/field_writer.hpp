#ifndef BILBERRYLEAD_CONFIG_FIELD_WRITER_HPP
#define BILBERRYLEAD_CONFIG_FIELD_WRITER_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/field_rules.hpp"
#include "bilberrylead/config/labels.hpp"
#include "bilberrylead/core/strong_id.hpp"
#include "bilberrylead/core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrylead::config
{

/// Writes a struct as one JSON object, every field in declared order: the
/// counterpart of field_reader. It borrows the object.
class field_writer
{
public:
    /// Writes into a value, which becomes an object.
    explicit field_writer(nlohmann::ordered_json& value);

    /// Writes a name.
    template <class Tag>
    void required(std::string_view name, strong_id<Tag> const& value)
    {
        this->required(name, value.text());
    }

    /// Writes a list of names.
    template <class Tag>
    void optional(std::string_view name,
                  std::vector<strong_id<Tag>> const& values)
    {
        std::vector<std::string> texts;
        texts.reserve(values.size());
        for (strong_id<Tag> const& value : values)
        {
            texts.push_back(value.text());
        }
        this->write_names(name, texts);
    }

    /// Writes a text.
    void required(std::string_view name, std::string const& value);
    /// Writes an endpoint as text.
    void required(std::string_view name, endpoint const& value);
    /// Writes a truth value.
    void optional(std::string_view name, bool value);
    /// Writes labels.
    void optional(std::string_view name, labels const& value);

    /// Writes a list of secrets.
    void secrets(std::string_view name, std::vector<std::string> const& values)
    {
        this->write_names(name, values);
    }

    /// Writes one of an enum's values by its name.
    template <class Enum>
    void choice(std::string_view name, Enum value,
                std::span<std::string_view const> names)
    {
        this->write_text(name, names[static_cast<std::size_t>(value)]);
    }

    /// Writes a whole number.
    template <std::unsigned_integral Number>
    void number(std::string_view name, Number value,
                number_range const& /*range*/)
    {
        this->write_number(name, std::uint64_t{value});
    }

    /// Writes a length of time in whole Units.
    template <class Unit>
    void time(std::string_view name, duration value, Unit /*least*/,
              Unit /*most*/)
    {
        this->write_number(
            name, static_cast<std::uint64_t>(
                      std::chrono::duration_cast<Unit>(value).count()));
    }

    /// Writes a list of objects.
    template <class Element>
    void list(std::string_view name, std::vector<Element> const& values)
    {
        this->start_list(name);
        for (Element const& value : values)
        {
            field_writer writer(this->add_element(name));
            visit_fields(writer, value);
        }
    }

    /// Writes an object within this one.
    template <class Section>
    void section(std::string_view name, Section const& value)
    {
        field_writer writer(this->add_member(name));
        visit_fields(writer, value);
    }

private:
    void write_text(std::string_view name, std::string_view value);
    void write_number(std::string_view name, std::uint64_t value);
    void write_names(std::string_view name,
                     std::vector<std::string> const& values);
    void start_list(std::string_view name);
    nlohmann::ordered_json& add_element(std::string_view name);
    nlohmann::ordered_json& add_member(std::string_view name);

    nlohmann::ordered_json* object;
};

} // namespace bilberrylead::config

#endif
