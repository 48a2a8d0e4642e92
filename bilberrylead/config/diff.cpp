#include "bilberrylead/config/diff.hpp"

#include "bilberrylead/config/configuration_change.hpp"
#include "bilberrylead/config/configuration_fields.hpp"
#include "bilberrylead/config/configuration_lists.hpp"
#include "bilberrylead/config/field_writer.hpp"
#include "bilberrylead/config/parse_configuration.hpp"
#include "bilberrylead/config/secret_digest.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <string_view>

namespace bilberrylead::config
{

namespace
{

template <class Element>
nlohmann::ordered_json to_json(Element const& element)
{
    nlohmann::ordered_json json;
    field_writer writer(json);
    visit_fields(writer, element);
    return json;
}

/// A customer with a digest in the place of each key, since operators' reports
/// and the audit trail show what differs.
nlohmann::ordered_json to_json(customer const& element)
{
    nlohmann::ordered_json json = to_json<customer>(element);
    for (nlohmann::ordered_json& key : json.at("keys"))
    {
        key = secret_digest(key.get_ref<std::string const&>());
    }
    return json;
}

std::string to_string(nlohmann::ordered_json const& value)
{
    return value.dump(-1, ' ', false,
                      nlohmann::ordered_json::error_handler_t::replace);
}

std::string display_name(element_key const& key)
{
    return key.second.empty() ? key.first : key.first + "-" + key.second;
}

/// Fields of an element that is only on one side.
std::vector<field_change> all_fields(nlohmann::ordered_json const& json,
                                     bool is_new)
{
    std::vector<field_change> fields;
    for (auto item = json.begin(); item != json.end(); ++item)
    {
        std::string const text = to_string(item.value());
        fields.push_back({item.key(), is_new ? "" : text, is_new ? text : ""});
    }
    return fields;
}

std::vector<field_change> differing_fields(nlohmann::ordered_json const& before,
                                           nlohmann::ordered_json const& after)
{
    std::vector<field_change> fields;
    for (auto item = before.begin(); item != before.end(); ++item)
    {
        nlohmann::ordered_json const& other = after.at(item.key());
        if (item.value() != other)
        {
            fields.push_back(
                {item.key(), to_string(item.value()), to_string(other)});
        }
    }
    return fields;
}

template <class Element>
configuration_change change_of(std::string_view list, Element const* before,
                               Element const* after)
{
    configuration_change change;
    change.list = list;
    change.name = display_name(key_of(before != nullptr ? *before : *after));
    if (before == nullptr)
    {
        change.kind = change_kind::added;
        change.fields = all_fields(to_json(*after), true);
    }
    else if (after == nullptr)
    {
        change.kind = change_kind::removed;
        change.fields = all_fields(to_json(*before), false);
    }
    else
    {
        change.fields = differing_fields(to_json(*before), to_json(*after));
    }
    return change;
}

std::string changed_fields_text(std::vector<field_change> const& fields)
{
    std::string text;
    for (field_change const& each : fields)
    {
        text += fmt::format("{} {} {} -> {}", text.empty() ? ":" : ",",
                            each.field, each.before, each.after);
    }
    return text;
}

} // namespace

std::vector<configuration_change> diff(configuration const& before,
                                       configuration const& after)
{
    configuration left = before;
    configuration right = after;
    sort_by_name(left);
    sort_by_name(right);
    std::vector<configuration_change> changes;
    if (left.shift_cap != right.shift_cap)
    {
        changes.push_back({change_kind::changed,
                           "configuration",
                           "",
                           {{"shift_cap", fmt::to_string(left.shift_cap),
                             fmt::to_string(right.shift_cap)}}});
    }
    if (left.limits != right.limits)
    {
        changes.push_back(
            {change_kind::changed, "limits", "",
             differing_fields(to_json(left.limits), to_json(right.limits))});
    }
    for_each_list(
        [&](std::string_view list, auto member)
        {
            for_each_difference(left.*member, right.*member,
                                [&](auto const* old, auto const* current)
                                {
                                    changes.push_back(
                                        change_of(list, old, current));
                                });
        });
    return changes;
}

std::string to_text(std::vector<configuration_change> const& changes)
{
    std::string text;
    for (configuration_change const& each : changes)
    {
        bool const changed = each.kind == change_kind::changed;
        char const mark =
            changed ? '~' : (each.kind == change_kind::added ? '+' : '-');
        text += fmt::format("{} {}{}{}{}\n", mark, each.list,
                            each.name.empty() ? "" : " ", each.name,
                            changed ? changed_fields_text(each.fields) : "");
    }
    return text;
}

} // namespace bilberrylead::config
