#include "bilberrylead/http/region_header.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <fmt/format.h>

namespace bilberrylead::http
{

std::string write_regions(std::vector<region_id> const& regions)
{
    std::string text;
    for (region_id const& region : regions)
    {
        text += fmt::format("{}{}", text.empty() ? "" : ",", region.text());
    }
    return text;
}

std::vector<region_id> read_regions(std::string_view text)
{
    std::vector<region_id> regions;
    absl::string_view const all(text.data(), text.size());
    for (absl::string_view const part :
         absl::StrSplit(all, ',', absl::SkipWhitespace()))
    {
        regions.emplace_back(std::string(absl::StripAsciiWhitespace(part)));
    }
    return regions;
}

} // namespace bilberrylead::http
