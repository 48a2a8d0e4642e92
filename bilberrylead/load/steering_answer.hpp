#ifndef BILBERRYLEAD_LOAD_STEERING_ANSWER_HPP
#define BILBERRYLEAD_LOAD_STEERING_ANSWER_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrylead::load
{

/// One entry host that a caller may use.
struct steering_host
{
    /// Its name.
    std::string id;
    /// Where it takes requests.
    config::endpoint address;
    /// Its share against the others'.
    std::uint32_t weight = 0;
};

/// Which entry hosts a caller may use, and for how long that holds.
struct steering_answer
{
    /// The configuration it follows from.
    revision from_revision = 0;
    /// How long a caller may keep it.
    duration time_to_live{};
    /// The entry hosts.
    std::vector<steering_host> hosts;
};

/// Reads a steering page; nothing if it is not one.
std::optional<steering_answer> parse_steering_answer(std::string_view text);

/// Chooses by weight with a lot; hosts without weight and those whose names
/// are in `avoided` come last. Null without hosts.
steering_host const* choose_host(steering_answer const& answer,
                                 std::vector<std::string> const& avoided,
                                 std::uint64_t lot);

} // namespace bilberrylead::load

#endif
