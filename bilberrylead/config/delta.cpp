#include "bilberrylead/config/delta.hpp"

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/configuration_fields.hpp"
#include "bilberrylead/config/configuration_lists.hpp"
#include "bilberrylead/config/error_list.hpp"
#include "bilberrylead/config/field_reader.hpp"
#include "bilberrylead/config/field_writer.hpp"
#include "bilberrylead/config/parse_configuration.hpp"
#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/error.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberrylead::config
{

namespace
{

constexpr char const* from_field = "from";
constexpr char const* to_field = "to";
constexpr char const* cap_field = "shift_cap";
constexpr char const* limits_field = "limits";
constexpr char const* put_field = "put";
constexpr char const* remove_field = "remove";

absl::Status damaged()
{
    return make_error(error_kind::corrupt, "The delta is damaged.",
                      "Ask for the whole configuration.");
}

template <class Element>
nlohmann::json to_json(Element const& element)
{
    nlohmann::ordered_json json;
    field_writer writer(json);
    visit_fields(writer, element);
    return json;
}

/// What of one list has to be put in and taken out; empty if nothing.
template <class Element>
nlohmann::json list_delta(std::vector<Element> const& before,
                          std::vector<Element> const& after)
{
    nlohmann::json json;
    for_each_difference(before, after,
                        [&json](Element const* old, Element const* current)
                        {
                            if (current != nullptr)
                            {
                                json[put_field].push_back(to_json(*current));
                            }
                            else
                            {
                                json[remove_field].push_back(
                                    nlohmann::json(key_of(*old)));
                            }
                        });
    return json;
}

template <class Element>
std::vector<Element> read_elements(nlohmann::json const& list,
                                   error_list& errors)
{
    std::vector<Element> elements;
    for (nlohmann::json const& each : list)
    {
        field_reader reader(each, put_field, errors);
        visit_fields(reader, elements.emplace_back());
        reader.finish();
    }
    return elements;
}

/// Takes out first, then puts in: an element that changed is in `put` only
/// and replaces the one of its key.
template <class Element>
void apply_list(nlohmann::json const& delta, std::vector<Element>& list,
                error_list& errors)
{
    if (delta.contains(remove_field))
    {
        std::vector<element_key> const removed =
            delta.at(remove_field).get<std::vector<element_key>>();
        std::erase_if(list,
                      [&removed](Element const& each)
                      {
                          return std::binary_search(
                              removed.begin(), removed.end(), key_of(each));
                      });
    }
    if (delta.contains(put_field))
    {
        std::vector<Element> const put =
            read_elements<Element>(delta.at(put_field), errors);
        std::size_t const kept = list.size();
        for (Element const& each : put)
        {
            auto const end = list.begin() + static_cast<std::ptrdiff_t>(kept);
            auto const place =
                std::lower_bound(list.begin(), end, each,
                                 [](Element const& left, Element const& right)
                                 {
                                     return key_of(left) < key_of(right);
                                 });
            if (place != end && key_of(*place) == key_of(each))
            {
                *place = each;
            }
            else
            {
                list.push_back(each);
            }
        }
    }
}

/// May throw the library's exceptions; apply_delta catches them.
absl::StatusOr<configuration> apply_json(configuration const& before,
                                         nlohmann::json const& delta)
{
    if (delta.at(from_field).get<std::uint64_t>() != digest_of(before))
    {
        return make_error(error_kind::conflict,
                          "The delta starts from another configuration.",
                          "Ask for the whole configuration.");
    }
    error_list errors("delta");
    configuration result = before;
    sort_by_name(result);
    result.shift_cap = delta.value(cap_field, result.shift_cap);
    if (delta.contains(limits_field))
    {
        field_reader reader(delta.at(limits_field), limits_field, errors);
        visit_fields(reader, result.limits);
        reader.finish();
    }
    for_each_list(
        [&](char const* list, auto member)
        {
            if (delta.contains(list))
            {
                apply_list(delta.at(list), result.*member, errors);
            }
        });
    sort_by_name(result);
    bool const arrived =
        errors.empty() &&
        delta.at(to_field).get<std::uint64_t>() == digest_of(result);
    if (!arrived)
    {
        return damaged();
    }
    return result;
}

} // namespace

std::uint64_t digest_of(configuration const& value)
{
    std::string const text = render_configuration(value);
    return XXH3_64bits(text.data(), text.size());
}

bytes make_delta(configuration const& before, configuration const& after)
{
    configuration left = before;
    configuration right = after;
    sort_by_name(left);
    sort_by_name(right);
    nlohmann::json delta = {{from_field, digest_of(left)},
                            {to_field, digest_of(right)}};
    if (left.shift_cap != right.shift_cap)
    {
        delta[cap_field] = right.shift_cap;
    }
    if (left.limits != right.limits)
    {
        delta[limits_field] = to_json(right.limits);
    }
    for_each_list(
        [&](char const* list, auto member)
        {
            nlohmann::json difference = list_delta(left.*member, right.*member);
            if (!difference.is_null())
            {
                delta[list] = std::move(difference);
            }
        });
    return nlohmann::json::to_cbor(delta);
}

absl::StatusOr<configuration> apply_delta(configuration const& before,
                                          std::span<std::uint8_t const> delta)
{
    try
    {
        absl::StatusOr<nlohmann::json> const json = parse_cbor(delta);
        if (!json.ok() || !json->is_object())
        {
            return damaged();
        }
        return apply_json(before, *json);
    }
    catch (nlohmann::json::exception const&)
    {
        return damaged();
    }
}

} // namespace bilberrylead::config
