#include "bilberrylead/agreement/role.hpp"

#include <array>
#include <cstddef>

namespace bilberrylead::agreement
{

std::string_view to_string(role value)
{
    constexpr std::array<std::string_view, 6> names = {
        "learner",   "follower", "pre_candidate",
        "candidate", "leader",   "stopped"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace bilberrylead::agreement
