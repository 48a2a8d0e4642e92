#include "bilberrylead/agreement/effects/proposal_refused.hpp"

#include <array>
#include <cstddef>

namespace bilberrylead::agreement
{

std::string_view to_string(refusal value)
{
    constexpr std::array<std::string_view, 7> names = {
        "not_leader", "handing_over",      "no_room",    "change_in_progress",
        "bad_change", "would_lose_quorum", "disk_failed"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace bilberrylead::agreement
