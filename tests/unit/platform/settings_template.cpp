#include "settings_template.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>

namespace bilberrylead::tests
{

namespace
{

using nlohmann::json;

/// What names inside a section mean.
struct render_scope
{
    json const* root = nullptr;
    json entry;
    std::string key;
    bool is_last = true;
};

/// The value at a dotted path; null if there is none.
json value_at(json const& fields, std::string_view path)
{
    json const* found = &fields;
    while (!path.empty())
    {
        std::size_t const dot = path.find('.');
        std::string const name(path.substr(0, dot));
        path = dot == std::string_view::npos ? "" : path.substr(dot + 1);
        if (found->is_array() &&
            name.find_first_not_of("0123456789") == std::string::npos &&
            std::stoul(name) < found->size())
        {
            found = &(*found)[std::stoul(name)];
            continue;
        }
        if (!found->is_object() || !found->contains(name))
        {
            return nullptr;
        }
        found = &(*found)[name];
    }
    return *found;
}

std::string text_of(json const& value)
{
    if (value.is_null())
    {
        return "";
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string render(std::string_view text, render_scope const& scope);

std::string render_section(std::string_view body, json const& value,
                           render_scope const& scope)
{
    if (value.is_null() || value == json(false))
    {
        return "";
    }
    if (!value.is_array() && !value.is_object())
    {
        return render(body, {scope.root, value, "", true});
    }
    std::string result;
    std::size_t index = 0;
    for (auto const& [key, entry] : value.items())
    {
        ++index;
        result += render(body, {scope.root, entry, key, index == value.size()});
    }
    return result;
}

std::string render_value(std::string_view name, render_scope const& scope)
{
    if (name == ".")
    {
        return text_of(scope.entry);
    }
    if (name == "@")
    {
        return scope.key;
    }
    if (name == ",")
    {
        return scope.is_last ? "" : ",";
    }
    return text_of(value_at(*scope.root, name));
}

std::string render(std::string_view text, render_scope const& scope)
{
    std::string result;
    while (true)
    {
        std::size_t const open = text.find("{{");
        result += text.substr(0, open);
        if (open == std::string_view::npos)
        {
            return result;
        }
        std::size_t const close = text.find("}}", open);
        std::string_view const name = text.substr(open + 2, close - open - 2);
        text = text.substr(close + 2);
        if (name.front() != '#' && name.front() != '^')
        {
            result += render_value(name, scope);
            continue;
        }
        std::string_view const path = name.substr(1);
        std::string const end = "{{/" + std::string(path) + "}}";
        std::string_view const body = text.substr(0, text.find(end));
        text = text.substr(body.size() + end.size());
        json const value = value_at(*scope.root, path);
        bool const is_unset = value.is_null() || value == json(false);
        if (name.front() == '#')
        {
            result += render_section(body, value, scope);
        }
        else if (is_unset)
        {
            result += render(body, scope);
        }
    }
}

} // namespace

std::string render_template(std::string_view text, nlohmann::json const& fields)
{
    return render(text, {&fields, fields, "", true});
}

} // namespace bilberrylead::tests
