#ifndef BILBERRYLEAD_CONFIG_ERROR_LIST_HPP
#define BILBERRYLEAD_CONFIG_ERROR_LIST_HPP

#include "bilberrylead/core/error.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrylead::config
{

/// Collects every fault of one text, so that an operator mends them in one
/// go. Bounded: a text with thousands of faults shows the first few.
class error_list
{
public:
    /// Makes an empty list; the source (a file's name) leads every line.
    explicit error_list(std::string_view source_name);

    /// Adds one fault. The path leads to it within the text, as in
    /// upstreams[3].slots; empty for the text as a whole.
    void add(error_kind kind, std::string_view path, std::string_view what,
             std::string_view remedy);

    /// True while nothing was added.
    bool empty() const;

    /// OK for an empty list; else one status with a line for each fault and
    /// the kind of the first.
    absl::Status status() const;

private:
    struct fault
    {
        error_kind kind;
        std::string what;
        std::string remedy;
    };

    std::string source;
    std::vector<fault> faults;
    std::size_t left_out = 0;
};

} // namespace bilberrylead::config

#endif
