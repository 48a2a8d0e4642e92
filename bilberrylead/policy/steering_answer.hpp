#ifndef BILBERRYLEAD_POLICY_STEERING_ANSWER_HPP
#define BILBERRYLEAD_POLICY_STEERING_ANSWER_HPP

#include "bilberrylead/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::policy
{

/// An entry host in an answer to "which entry hosts for me?".
struct steered_host
{
    /// The entry host, by its place in the steering's list.
    std::size_t host = 0;
    /// Its weight in the answer, 1 to 1000.
    std::uint32_t weight = 1;
};

/// An answer to "which entry hosts for me?".
struct steering_answer
{
    /// Most entry hosts in one answer: the first, and others for when it
    /// does not answer.
    static constexpr std::size_t most_hosts = 4;

    /// In the order in which the caller should try them.
    std::array<steered_host, most_hosts> hosts{};
    /// How many of them count; 0 says "not run".
    std::size_t count = 0;
    /// How long the caller may keep the answer, or when to come back.
    duration ttl{};
};

} // namespace bilberrylead::policy

#endif
