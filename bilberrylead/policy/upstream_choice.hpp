#ifndef BILBERRYLEAD_POLICY_UPSTREAM_CHOICE_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_CHOICE_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/upstream_set.hpp"

#include <concepts>
#include <cstddef>
#include <optional>

namespace bilberrylead::policy
{

/// Picks the upstream that one request goes to: an index into the set, or
/// nothing if none takes work. May keep state of its own; allocates nothing.
template <class Choice>
concept upstream_choice = requires(Choice choice, upstream_set const& set,
                                   instant now, generator& random) {
    {
        choice.choose(set, now, random)
    } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace bilberrylead::policy

#endif
