#ifndef BILBERRYLEAD_CONFIG_FIELD_CHECKER_HPP
#define BILBERRYLEAD_CONFIG_FIELD_CHECKER_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/error_list.hpp"
#include "bilberrylead/config/field_rules.hpp"
#include "bilberrylead/config/labels.hpp"
#include "bilberrylead/core/strong_id.hpp"
#include "bilberrylead/core/time.hpp"

#include <fmt/format.h>

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberrylead::config
{

/// Checks the ranges of a struct that did not come from text (built by
/// code, or decoded from a message) by the rules that field_reader applies.
/// It borrows the list.
class field_checker
{
public:
    /// Checks under a path.
    field_checker(std::string place, error_list& list)
        : path(std::move(place)), errors(&list)
    {
    }

    /// Checks a name.
    template <class Tag>
    void required(std::string_view name, strong_id<Tag> const& value)
    {
        this->report(name, name_fault(value.text()));
    }

    /// Checks a list of names.
    template <class Tag>
    void optional(std::string_view name,
                  std::vector<strong_id<Tag>> const& values)
    {
        for (strong_id<Tag> const& value : values)
        {
            this->report(name, name_fault(value.text()));
        }
    }

    /// Checks a text.
    void required(std::string_view name, std::string const& value);
    /// Checks an endpoint.
    void required(std::string_view name, endpoint const& value);
    /// Nothing can be wrong with a truth value.
    void optional(std::string_view /*name*/, bool /*value*/)
    {
    }
    /// Checks labels.
    void optional(std::string_view name, labels const& value);

    /// Checks a list of secrets.
    void secrets(std::string_view name, std::vector<std::string> const& values);

    /// Nothing can be wrong with an enum's value.
    template <class Enum>
    void choice(std::string_view /*name*/, Enum /*value*/,
                std::span<std::string_view const> /*names*/)
    {
    }

    /// Checks a whole number.
    template <std::unsigned_integral Number>
    void number(std::string_view name, Number value, number_range const& range)
    {
        this->report(name, range_fault(std::uint64_t{value}, range));
    }

    /// Checks a length of time, which must be whole Units: its text form
    /// could not keep the rest.
    template <class Unit>
    void time(std::string_view name, duration value, Unit least, Unit most)
    {
        Unit const whole = std::chrono::duration_cast<Unit>(value);
        if (whole != value || whole < least || whole > most)
        {
            this->report(name,
                         field_fault{"The time is out of range or no whole "
                                     "number of its unit.",
                                     fmt::format("Take {} to {}.",
                                                 least.count(), most.count())});
        }
    }

    /// Checks each object of a list.
    template <class Element>
    void list(std::string_view name, std::vector<Element> const& values)
    {
        for (std::size_t index = 0; index < values.size(); ++index)
        {
            field_checker checker(
                fmt::format("{}[{}]", this->path_of(name), index),
                *this->errors);
            visit_fields(checker, values[index]);
        }
    }

    /// Checks an object within this one.
    template <class Section>
    void section(std::string_view name, Section const& value)
    {
        field_checker checker(this->path_of(name), *this->errors);
        visit_fields(checker, value);
    }

private:
    std::string path_of(std::string_view name) const;
    void report(std::string_view name, std::optional<field_fault> const& fault);

    std::string path;
    error_list* errors;
};

} // namespace bilberrylead::config

#endif
