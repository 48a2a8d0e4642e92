#include "bilberrylead/config/json_text.hpp"

#include "bilberrylead/config/error_list.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
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

/// The library's message without its bracketed code, and without the text
/// that it read last, which may be a secret.
std::string message_of(nlohmann::json::exception const& error)
{
    std::string const text = error.what();
    std::size_t const end = text.find("] ");
    std::string const message =
        end == std::string::npos ? text : text.substr(end + 2);
    return message.substr(0, message.find("; last read: "));
}

/// Goes through a text before its value is built, and finds what the
/// library lets pass: fields that stand twice, of which it keeps the last
/// one and says nothing, so that an operator who edits the first would see
/// neither effect nor error; and nesting without bound.
///
/// A pass of its own, because the library's callback for building values
/// walks the whole surrounding list at the end of each of its objects: time
/// grows with the square of the list.
class text_scan
{
public:
    explicit text_scan(error_list& list) : errors(&list)
    {
    }

    bool null()
    {
        return this->count_element();
    }

    bool boolean(bool /*value*/)
    {
        return this->count_element();
    }

    bool number_integer(std::int64_t /*value*/)
    {
        return this->count_element();
    }

    bool number_unsigned(std::uint64_t /*value*/)
    {
        return this->count_element();
    }

    bool number_float(double /*value*/, std::string const& /*text*/)
    {
        return this->count_element();
    }

    bool string(std::string& /*value*/)
    {
        return this->count_element();
    }

    bool binary(nlohmann::json::binary_t& /*value*/)
    {
        return this->count_element();
    }

    bool start_object(std::size_t /*elements*/)
    {
        return this->enter(false);
    }

    bool start_array(std::size_t /*elements*/)
    {
        return this->enter(true);
    }

    bool end_object()
    {
        this->frames.pop_back();
        return true;
    }

    bool end_array()
    {
        this->frames.pop_back();
        return true;
    }

    bool key(std::string const& name)
    {
        frame& top = this->frames.back();
        top.key = name;
        if (!top.keys.insert(name).second)
        {
            this->fault_found = true;
            this->errors->add(error_kind::duplicate_name, this->path(),
                              "The field stands here twice.",
                              "Take one of them away.");
        }
        return true;
    }

    bool parse_error(std::size_t /*position*/, std::string const& /*token*/,
                     nlohmann::json::exception const& error)
    {
        this->fault_found = true;
        this->errors->add(
            error_kind::syntax, "",
            fmt::format("Not JSON with comments: {}.", message_of(error)),
            "Mend the text there.");
        return false;
    }

    bool found_fault() const
    {
        return this->fault_found;
    }

private:
    struct frame
    {
        bool is_array = false;
        std::size_t elements = 0;
        std::string key;
        std::set<std::string> keys;
    };

    bool enter(bool is_array)
    {
        if (this->frames.size() == deepest_nesting)
        {
            this->fault_found = true;
            this->errors->add(
                error_kind::syntax, "",
                fmt::format("Values nest deeper than {}.", deepest_nesting),
                "Compare it with the examples.");
            return false;
        }
        this->count_element();
        this->frames.push_back(frame{is_array, 0, {}, {}});
        return true;
    }

    bool count_element()
    {
        if (!this->frames.empty())
        {
            ++this->frames.back().elements;
        }
        return true;
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
    bool fault_found = false;
    std::vector<frame> frames;
};

} // namespace

std::optional<nlohmann::json> parse_json(std::string_view text,
                                         error_list& errors)
{
    text_scan scan(errors);
    try
    {
        nlohmann::json::sax_parse(
            text, &scan, nlohmann::json::input_format_t::json, true, true);
        if (scan.found_fault())
        {
            return std::nullopt;
        }
        return nlohmann::json::parse(text, nullptr, true, true);
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
