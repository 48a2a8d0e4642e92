#include "bilberrylead/config/error_list.hpp"

#include <fmt/format.h>

namespace bilberrylead::config
{

namespace
{

/// What fits on a terminal; more faults of one text are mostly copies.
constexpr std::size_t most_faults = 20;

} // namespace

error_list::error_list(std::string_view source_name) : source(source_name)
{
}

void error_list::add(error_kind kind, std::string_view path,
                     std::string_view what, std::string_view remedy)
{
    if (this->faults.size() == most_faults)
    {
        ++this->left_out;
        return;
    }
    std::string place = this->source;
    if (!path.empty())
    {
        place += place.empty() ? "" : ": ";
        place += path;
    }
    std::string text =
        place.empty() ? std::string(what) : fmt::format("{}: {}", place, what);
    this->faults.push_back(fault{kind, std::move(text), std::string(remedy)});
}

bool error_list::empty() const
{
    return this->faults.empty();
}

absl::Status error_list::status() const
{
    if (this->faults.empty())
    {
        return absl::OkStatus();
    }
    fault const& first = this->faults.front();
    std::string remedies = first.remedy;
    for (std::size_t index = 1; index < this->faults.size(); ++index)
    {
        fault const& next = this->faults[index];
        remedies += fmt::format("\n{}: {} {}", to_string(next.kind), next.what,
                                next.remedy);
    }
    if (this->left_out > 0)
    {
        remedies +=
            fmt::format("\n{} more faults are left out.", this->left_out);
    }
    return make_error(first.kind, first.what, remedies);
}

} // namespace bilberrylead::config
