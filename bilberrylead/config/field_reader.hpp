#ifndef BILBERRYLEAD_CONFIG_FIELD_READER_HPP
#define BILBERRYLEAD_CONFIG_FIELD_READER_HPP

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
#include <utility>
#include <vector>

namespace bilberrylead::config
{

class error_list;

/// Reads one JSON object into a struct, strictly: a missing, mistyped,
/// out-of-range or unknown field is an error with its path. A visitor for
/// `visit_fields`; it borrows the object and the list.
class field_reader
{
public:
    /// Starts on an object at a path; a value that is no object is an error.
    field_reader(nlohmann::json const& value, std::string path,
                 error_list& list);

    /// Reads a name that must be there.
    template <class Tag>
    void required(std::string_view name, strong_id<Tag>& value)
    {
        std::string text;
        this->read_name(name, text);
        value = strong_id<Tag>(std::move(text));
    }

    /// Reads a list of names; a missing one stays as it is.
    template <class Tag>
    void optional(std::string_view name, std::vector<strong_id<Tag>>& values)
    {
        for (std::string& text : this->read_names(name))
        {
            values.push_back(strong_id<Tag>(std::move(text)));
        }
    }

    /// Reads a text that must be there and hold at least one letter.
    void required(std::string_view name, std::string& value);
    /// Reads an endpoint that must be there.
    void required(std::string_view name, endpoint& value);

    /// Reads an endpoint; a missing one stays as it is.
    void optional(std::string_view name, endpoint& value);
    /// Reads a list of endpoints; a missing one stays as it is.
    void optional(std::string_view name, std::vector<endpoint>& values);
    /// Reads a number with a fraction; a missing one stays as it is.
    void fraction(std::string_view name, double& value, double least,
                  double most);
    /// Reads a length of time given in seconds, with a fraction; a missing
    /// one stays as it is.
    void seconds(std::string_view name, duration& value, duration most);

    /// Reads a text that may be empty; a missing one stays as it is.
    void optional(std::string_view name, std::string& value);
    /// Reads a truth value; a missing one stays as it is.
    void optional(std::string_view name, bool& value);
    /// Reads labels; missing ones stay as they are.
    void optional(std::string_view name, labels& value);
    /// Reads a key that must be there, 32 to 256 letters; errors never show
    /// it.
    void secret(std::string_view name, std::string& value);

    /// Reads a list of secrets, each 1 to 1024 characters that a header may
    /// hold; a missing one stays as it is. Errors never show them.
    void secrets(std::string_view name, std::vector<std::string>& values);

    /// Reads one of an enum's values by its name; a missing one stays.
    template <class Enum>
    void choice(std::string_view name, Enum& value,
                std::span<std::string_view const> names)
    {
        value = static_cast<Enum>(
            this->read_choice(name, static_cast<std::size_t>(value), names));
    }

    /// Reads a whole number in a range; a missing one stays as it is.
    template <std::unsigned_integral Number>
    void number(std::string_view name, Number& value, number_range const& range)
    {
        value = static_cast<Number>(
            this->read_number(name, std::uint64_t{value}, range));
    }

    /// Reads a length of time given in whole Units; a missing one stays.
    template <class Unit>
    void time(std::string_view name, duration& value, Unit least, Unit most)
    {
        std::uint64_t const before = static_cast<std::uint64_t>(
            std::chrono::duration_cast<Unit>(value).count());
        number_range const range{static_cast<std::uint64_t>(least.count()),
                                 static_cast<std::uint64_t>(most.count())};
        std::uint64_t const count = this->read_number(name, before, range);
        if (count != before)
        {
            value = Unit(static_cast<typename Unit::rep>(count));
        }
    }

    /// Reads a list of objects, each with visit_fields; a missing one is
    /// empty.
    template <class Element>
    void list(std::string_view name, std::vector<Element>& values)
    {
        std::size_t const size = this->list_size(name);
        values.reserve(size);
        for (std::size_t index = 0; index < size; ++index)
        {
            field_reader reader = this->element(name, index);
            visit_fields(reader, values.emplace_back());
            reader.finish();
        }
    }

    /// Reads an object within this one; a missing one keeps its defaults.
    template <class Section>
    void section(std::string_view name, Section& value)
    {
        if (this->find(name) != nullptr)
        {
            field_reader reader = this->member(name);
            visit_fields(reader, value);
            reader.finish();
        }
    }

    /// Reports every field that nobody asked for. Call once, last.
    void finish();

private:
    nlohmann::json const* find(std::string_view name);
    nlohmann::json const* find_required(std::string_view name);
    std::string path_of(std::string_view name) const;
    void fail(std::string_view name, field_fault const& fault);
    void fail_type(std::string_view name, std::string_view expected);
    void read_name(std::string_view name, std::string& value);
    std::vector<std::string> read_names(std::string_view name);
    std::uint64_t read_number(std::string_view name, std::uint64_t unset,
                              number_range const& range);
    std::size_t read_choice(std::string_view name, std::size_t unset,
                            std::span<std::string_view const> names);
    std::size_t list_size(std::string_view name);
    field_reader element(std::string_view name, std::size_t index);
    field_reader member(std::string_view name);

    nlohmann::json const* object;
    std::string path;
    error_list* errors;
    std::vector<std::string> known;
};

} // namespace bilberrylead::config

#endif
