#include "scenario_line.hpp"

#include <fmt/format.h>

#include <charconv>
#include <sstream>
#include <stdexcept>

namespace bilberrylead::scenario
{

namespace
{

std::uint32_t read_count(std::string const& text)
{
    std::uint32_t value = 0;
    std::from_chars_result const read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size())
    {
        throw std::runtime_error(fmt::format("'{}' is no number", text));
    }
    return value;
}

} // namespace

std::string const& scenario_line::word(std::size_t place) const
{
    if (place >= this->words.size())
    {
        throw std::runtime_error(
            fmt::format("the step needs {} words", place + 1));
    }
    return this->words[place];
}

std::uint32_t scenario_line::count(std::size_t place) const
{
    return read_count(this->word(place));
}

std::optional<std::uint32_t>
scenario_line::count_after(std::string_view marker) const
{
    std::string const text = this->after(marker);
    return text.empty() ? std::nullopt : std::optional(read_count(text));
}

std::string scenario_line::after(std::string_view marker) const
{
    for (std::size_t place = 0; place + 1 < this->words.size(); ++place)
    {
        if (this->words[place] == marker)
        {
            return this->words[place + 1];
        }
    }
    return {};
}

std::string scenario_line::rest(std::size_t place) const
{
    std::string result;
    for (; place < this->words.size(); ++place)
    {
        result += (result.empty() ? "" : " ") + this->words[place];
    }
    return result;
}

std::vector<scenario_line> read_scenario(std::string_view text)
{
    std::vector<scenario_line> lines;
    std::istringstream stream{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(stream, line);)
    {
        ++number;
        std::istringstream words(line.substr(0, line.find('#')));
        scenario_line step{number, line, {}};
        for (std::string word; words >> word;)
        {
            step.words.push_back(word);
        }
        if (!step.words.empty())
        {
            lines.push_back(step);
        }
    }
    return lines;
}

} // namespace bilberrylead::scenario
