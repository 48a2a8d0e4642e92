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

/// A load-balancing policy: returns the index in the set of the upstream that
/// one request is sent to, or nothing if no upstream accepts work. May keep
/// state of its own; does not allocate.
template <class Choice>
concept upstream_choice = requires(Choice choice, upstream_set const& set,
                                   instant now, generator& random) {
    {
        choice.choose(set, now, random)
    } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace bilberrylead::policy

#endif
