#include "bilberrylead/config/json_text.hpp"

#include "bilberrylead/config/error_list.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace bilberrylead::config
{

namespace
{

/// Settings nest four deep; without a bound a text of brackets alone makes
/// the reader hold a frame for each of them.
constexpr std::size_t deepest_nesting = 32;

struct nested_too_deep
{
};

/// Follows the parser through the text and finds fields that stand twice:
/// the library keeps the last one and says nothing, so an operator who
/// edits the first one would see no effect and no error.
class duplicate_watch
{
public:
    explicit duplicate_watch(error_list& list) : errors(&list)
    {
    }

    bool operator()(int /*depth*/, nlohmann::json::parse_event_t event,
                    nlohmann::json& parsed)
    {
        using event_type = nlohmann::json::parse_event_t;
        switch (event)
        {
        case event_type::object_start:
        case event_type::array_start:
            this->enter(event == event_type::array_start);
            break;
        case event_type::object_end:
        case event_type::array_end:
            this->frames.pop_back();
            break;
        case event_type::key:
            this->note_key(parsed.get_ref<std::string const&>());
            break;
        case event_type::value:
            this->count_element();
            break;
        }
        return true;
    }

    bool found() const
    {
        return this->found_any;
    }

private:
    struct frame
    {
        bool is_array = false;
        std::size_t elements = 0;
        std::string key;
        std::set<std::string> keys;
    };

    void enter(bool is_array)
    {
        if (this->frames.size() == deepest_nesting)
        {
            throw nested_too_deep();
        }
        this->count_element();
        this->frames.push_back(frame{is_array, 0, {}, {}});
    }

    void count_element()
    {
        if (!this->frames.empty())
        {
            ++this->frames.back().elements;
        }
    }

    void note_key(std::string const& key)
    {
        frame& top = this->frames.back();
        top.key = key;
        if (!top.keys.insert(key).second)
        {
            this->found_any = true;
            this->errors->add(error_kind::duplicate_name, this->path(),
                              "The field stands here twice.",
                              "Take one of them away.");
        }
    }

    std::string path() const
    {
        std::string text;
        for (frame const& level : this->frames)
        {
            if (level.is_array)
            {
                text += fmt::format("[{}]", level.elements - 1);
            }
            else
            {
                text += (text.empty() ? "" : ".") + level.key;
            }
        }
        return text;
    }

    error_list* errors;
    bool found_any = false;
    std::vector<frame> frames;
};

/// The library's message without its bracketed code.
std::string message_of(nlohmann::json::exception const& error)
{
    std::string const text = error.what();
    std::size_t const end = text.find("] ");
    return end == std::string::npos ? text : text.substr(end + 2);
}

} // namespace

std::optional<nlohmann::json> parse_json(std::string_view text,
                                         error_list& errors)
{
    duplicate_watch watch(errors);
    try
    {
        nlohmann::json::parser_callback_t const callback = std::ref(watch);
        nlohmann::json value =
            nlohmann::json::parse(text, callback, true, true);
        if (watch.found())
        {
            return std::nullopt;
        }
        return value;
    }
    catch (nested_too_deep const&)
    {
        errors.add(error_kind::syntax, "",
                   fmt::format("Values nest deeper than {}.", deepest_nesting),
                   "Compare it with the examples.");
    }
    catch (nlohmann::json::exception const& error)
    {
        errors.add(
            error_kind::syntax, "",
            fmt::format("Not JSON with comments: {}.", message_of(error)),
            "Mend the text there.");
    }
    return std::nullopt;
}

} // namespace bilberrylead::config
