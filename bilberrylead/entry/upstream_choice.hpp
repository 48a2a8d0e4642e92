#ifndef BILBERRYLEAD_ENTRY_UPSTREAM_CHOICE_HPP
#define BILBERRYLEAD_ENTRY_UPSTREAM_CHOICE_HPP

#include "bilberrylead/core/time.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace bilberrylead::entry
{

/// What a choice of upstream sees of one that may take a request.
struct upstream_candidate
{
    /// Requests this entry host has under way there.
    std::uint32_t in_flight = 0;
    /// Requests it runs at a time.
    std::uint32_t slots = 1;
    /// True if it stands in this entry host's availability zone.
    bool own_zone = false;
    /// True if it turned work away, or could not be reached, a moment ago.
    bool shunned = false;
};

/// Picks one of the candidates, or none if the request must wait.
template <class Choice>
concept upstream_choice =
    requires(Choice& choice, std::span<upstream_candidate const> candidates) {
        {
            choice.choose(candidates)
        } -> std::same_as<std::optional<std::size_t>>;
    };

} // namespace bilberrylead::entry

#endif
