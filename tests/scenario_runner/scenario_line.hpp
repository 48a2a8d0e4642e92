#ifndef BILBERRYLEAD_SCENARIO_RUNNER_SCENARIO_LINE_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_SCENARIO_LINE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrylead::scenario
{

/// One step of a scenario file.
struct scenario_line
{
    /// Line number in the file, from 1.
    std::size_t number = 0;
    /// The line as written, for messages.
    std::string text;
    /// Its words; what stands behind '#' is left out.
    std::vector<std::string> words;

    /// Word at a place; a scenario that lacks it is refused.
    std::string const& word(std::size_t place) const;
    /// The number that a word is.
    std::uint32_t count(std::size_t place) const;
    /// The number behind this word, nothing if the line has none.
    std::optional<std::uint32_t> count_after(std::string_view marker) const;
    /// The word behind this one, empty if the line has none.
    std::string after(std::string_view marker) const;
    /// The line's rest from a place on, as written.
    std::string rest(std::size_t place) const;
};

/// Cuts a scenario into its steps; empty lines and comments are left out.
std::vector<scenario_line> read_scenario(std::string_view text);

} // namespace bilberrylead::scenario

#endif
